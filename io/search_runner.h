// Runs one search: connects its state machine with sub-requests, a timer and the quarantine.
//
// Use:
//   auto run = SearchRun::Start(context, std::move(request), trace, [](Result<SearchResponse> a)
//   {}); run->Abort();                              // the caller has disconnected
//
// Contract: runs on the thread of the io_context. The callback is called exactly once unless the
// run was aborted. It is not called from inside Start() unless the search is refused. A run keeps
// itself alive until it ends.
#ifndef PERIDOTGAUGE_IO_SEARCH_RUNNER_H_
#define PERIDOTGAUGE_IO_SEARCH_RUNNER_H_

#include <functional>
#include <memory>
#include <optional>

#include "core/caller_api.h"
#include "core/span.h"
#include "io/request_context.h"

namespace peridotgauge {

class SearchRun {
 public:
  using Callback = std::function<void(Result<SearchResponse>)>;

  virtual ~SearchRun() = default;
  // Withdraws all sub-requests; the callback is not called any more.
  virtual void Abort() = 0;

  // `request.request_id` is not empty. Returns nullptr if the search was refused at once.
  static std::shared_ptr<SearchRun> Start(RequestContext& context, SearchRequest request,
                                          const std::optional<SpanContext>& parent, Time now,
                                          Callback callback);
};

// Commits a quarantine; `done` is called when it is committed or has failed.
void CommitQuarantine(ControlClient& control, uint64_t fingerprint,
                      std::function<void(bool committed)> done);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_SEARCH_RUNNER_H_
