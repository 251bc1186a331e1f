// The headers of a sub-request as a stand-in target reads and echoes them, without the product's
// code.
#ifndef PERIDOTGAUGE_BENCH_STANDIN_HEADERS_H_
#define PERIDOTGAUGE_BENCH_STANDIN_HEADERS_H_

#include <optional>
#include <string>

#include "core/http_message.h"
#include "core/records.h"
#include "core/types.h"

namespace peridotgauge {

// The headers of a sub-request that were read without an error.
struct SubHeaders {
  std::string request_id;
  std::string attempt;
  std::string service;
  Holding holding;
  Duration deadline;
};

// Nothing if a header is missing or malformed, or the path is unknown.
std::optional<SubHeaders> ReadHeaders(const HttpRequest& request);
// Adds the headers that a reply repeats.
void Echo(const SubHeaders& headers, HttpResponse& response);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_BENCH_STANDIN_HEADERS_H_
