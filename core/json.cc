// The single translation unit that compiles Boost.JSON, which is used as a header-only library.
#include <boost/json/src.hpp>
