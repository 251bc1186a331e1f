// Conversions between the HTTP value types and Beast messages, for the server and the client.
//
// Use:
//   HttpRequest request = ToRequest(parser.release());
//   http::async_write(socket, message = ToBeastResponse(response, keep_alive, head_only), ...);
//   std::string bytes = SerializeRequest(request, address);
#ifndef PERIDOTGAUGE_IO_HTTP_BEAST_H_
#define PERIDOTGAUGE_IO_HTTP_BEAST_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>

#include "core/http_message.h"
#include "core/types.h"

namespace peridotgauge {

using BeastRequest = boost::beast::http::request<boost::beast::http::string_body>;
using BeastResponse = boost::beast::http::response<boost::beast::http::string_body>;

// Memory of a field of a message in Beast's list, with its allocation, in addition to its text.
constexpr size_t kParsedFieldBytes = 96;
// Received bytes of an incomplete header after which its fields are counted again. Counting at each
// read would take long for headers that arrive byte by byte.
constexpr size_t kRecountBytes = 512;

HttpRequest ToRequest(BeastRequest message);
HttpResponse ToResponse(BeastResponse message);
// Returns the request as sent on the wire. Adds a Host header with `address` if the request has
// none, and the Content-Length.
std::string SerializeRequest(const HttpRequest& request, const Address& address);
// `head_only` leaves out the body, as the response to a HEAD request requires.
BeastResponse ToBeastResponse(HttpResponse response, bool keep_alive, bool head_only);
// Returns true if a header value contains a control character, which could end the line and inject
// another header.
bool HasControlCharacter(const std::vector<HttpHeader>& headers);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_HTTP_BEAST_H_
