// The closed list of errors, with a table from each error to its answers.
//
// Every failure that leaves a module is an `Error`: a code of this list and a detail for people.
// The table gives the code's name on the wire, its HTTP status, whether it proves that the request
// was not executed, and the exit status of the command-line tool.
#ifndef PERIDOTGAUGE_CORE_ERROR_H_
#define PERIDOTGAUGE_CORE_ERROR_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>

namespace peridotgauge {

// The values are part of the protocol between processes: append only.
enum class ErrorCode : uint8_t {
  kBadRequest = 0,    // malformed or invalid input
  kNotFound,          // unknown service, path, revision or trace
  kTooLarge,          // a size limit was exceeded
  kInvalidConfig,     // the operators' text is refused
  kInvalidSettings,   // the daemon's settings are refused
  kConflict,          // another text or body was accepted under this number or id
  kInProgress,        // the same request id is being executed now
  kInDoubt,           // the request may or may not have been executed
  kExpired,           // the request id is older than the retention window
  kLedgerFull,        // no room for another request record
  kOverloaded,        // refused before execution: queue full or deadline cannot be met
  kNotSynchronized,   // this router holds no valid configuration lease
  kDraining,          // this process is shutting down
  kNoTarget,          // no live target for the shard
  kUnavailable,       // the peer could not be reached; nothing was sent
  kNotLeader,         // this controller is not the leader
  kShed,              // the target refused the request without executing it
  kConnectionLost,    // the connection failed after sending; outcome unknown
  kTargetFailed,      // the target answered with an error
  kWrongReply,        // the reply does not belong to the request
  kWrongSnapshot,     // the reply is from another snapshot
  kDeadlineExceeded,  // no answer before the deadline; outcome unknown
  kCancelled,         // withdrawn by the requester
  kQuarantined,       // the request crashed targets and is blocked
  kUnknownOutcome,    // a command's answer was lost; it may have been committed
  kStorageFailed,     // a write or sync to the data folder failed
  kCorrupt,           // stored data failed its checksum
  kInternal,          // a bug
};

constexpr int kErrorCodeCount = static_cast<int>(ErrorCode::kInternal) + 1;

// What an error code means at each edge.
struct ErrorInfo {
  ErrorCode code;
  std::string_view name;  // on the wire and in logs
  int http_status;
  bool not_run;   // true only if no target can have executed the request
  int exit_code;  // of the command-line tool
  std::string_view text;
};

const ErrorInfo& InfoOf(ErrorCode code);
// Returns the code with that wire name, or nothing.
std::optional<ErrorCode> ErrorCodeFromName(std::string_view name);

struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string detail;  // for people; may be empty

  std::string_view Name() const { return InfoOf(this->code).name; }
  bool NotRun() const { return InfoOf(this->code).not_run; }
  // "<name>: <detail>", or the table's text if there is no detail.
  std::string ToString() const;
  bool operator==(const Error&) const = default;
};

template <typename T>
using Result = tl::expected<T, Error>;

inline tl::unexpected<Error> Fail(ErrorCode code, std::string detail = {}) {
  return tl::unexpected<Error>(Error{code, std::move(detail)});
}

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_ERROR_H_
