// Error codes, and a table with the properties of each code.
//
// Every failure that a module reports is an `Error`: one of these codes and a human-readable
// detail. The table gives the code's name on the wire, its HTTP status, whether it proves that the
// request was not executed, and the exit status of the command-line tool.
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
  kInvalidConfig,     // the configuration was rejected
  kInvalidSettings,   // the daemon's settings were rejected
  kConflict,          // a different configuration or body was accepted under this revision or id
  kInProgress,        // a request with the same id is being executed
  kInDoubt,           // the request may or may not have been executed
  kExpired,           // the request id is older than the retention window
  kLedgerFull,        // no room for another request record
  kOverloaded,        // rejected before execution: the queue is full or the deadline cannot be met
  kNotSynchronized,   // this router holds no valid configuration lease
  kDraining,          // this process is shutting down
  kNoTarget,          // no live target for the shard
  kUnavailable,       // the peer could not be reached; nothing was sent
  kNotLeader,         // this controller is not the leader
  kShed,              // the target rejected the request without executing it
  kConnectionLost,    // the connection failed after sending; outcome unknown
  kTargetFailed,      // the target responded with an error
  kWrongReply,        // the reply does not belong to the request
  kWrongSnapshot,     // the reply was computed from a different snapshot
  kDeadlineExceeded,  // no response before the deadline; outcome unknown
  kCancelled,         // cancelled by the requester
  kQuarantined,       // the request crashed targets and is blocked
  kUnknownOutcome,    // the response to a command was lost; the command may have been committed
  kStorageFailed,     // a write or sync to the data folder failed
  kCorrupt,           // stored data failed its checksum
  kInternal,          // a bug
  kSuspect,           // the request has crashed targets and was not sent; a trial of it may follow
  kUnknownKey,        // the request carries no key of a workspace
  kQuotaExceeded,     // the workspace has used up its request quota
};

constexpr int kErrorCodeCount = static_cast<int>(ErrorCode::kQuotaExceeded) + 1;

// Properties of an error code.
struct ErrorInfo {
  ErrorCode code;
  std::string_view name;  // on the wire and in logs
  int http_status;
  bool not_run;   // true only if no target can have executed the request
  int exit_code;  // of the command-line tool
  std::string_view text;
};

// Returns the table row of the code; an unknown code gives the row of kInternal.
const ErrorInfo& InfoOf(ErrorCode code);
// Returns the code with that wire name, or nullopt.
std::optional<ErrorCode> ErrorCodeFromName(std::string_view name);

struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string detail;  // human-readable; may be empty

  std::string_view Name() const { return InfoOf(this->code).name; }
  bool NotRun() const { return InfoOf(this->code).not_run; }
  // Returns "<name>: <detail>", with the table's text in place of an empty detail.
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
