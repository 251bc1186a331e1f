// Compiles Boost.JSON, which is header-only in this build, once.
#include <boost/json/src.hpp>
