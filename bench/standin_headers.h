// Sub-request headers of the stand-in target. This code is independent of the router's, so that
// errors of the router in these headers are found.
#ifndef PERIDOTGAUGE_BENCH_STANDIN_HEADERS_H_
#define PERIDOTGAUGE_BENCH_STANDIN_HEADERS_H_

#include <optional>
#include <string>

#include "core/http_message.h"
#include "core/records.h"
#include "core/types.h"

namespace peridotgauge {

// Parsed headers of a valid sub-request.
struct SubRequestHeaders {
  std::string request_id;
  std::string attempt;
  std::string service;
  Holding holding;
  Duration deadline;
};

// Returns the headers, or nullopt if a header is missing or malformed or the path is unknown.
std::optional<SubRequestHeaders> ParseSubRequestHeaders(const HttpRequest& request);
// Adds the request headers that a response must repeat.
void AddEchoedHeaders(const SubRequestHeaders& headers, HttpResponse& response);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_BENCH_STANDIN_HEADERS_H_
