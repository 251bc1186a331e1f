// Runs one search: carries out the effects of its state machine with sub-requests and a timer, and
// reports crashes of targets to the quarantine and to the controllers.
//
// Use:
//   auto run = SearchRun::Start(context, std::move(request), trace, now,
//                               [](Result<SearchResponse> answer) { ... });
//   run->Abort();  // the caller has disconnected
//
// Contract: runs on the thread of the io_context. The callback is called exactly once unless the
// run was aborted. It is called from inside Start() only if the search is refused. A run keeps
// itself alive until it ends. A suspect search waits for its trial first, see crash_guard.h.
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
  // Cancels all sub-requests, except those of a trial. The callback is not called afterwards.
  virtual void Abort() = 0;

  // Starts a search. `request.request_id` must not be empty. Returns nullptr if the search was
  // refused; the callback has been called then.
  static std::shared_ptr<SearchRun> Start(RequestContext& context, SearchRequest request,
                                          const std::optional<SpanContext>& parent, Time now,
                                          Callback callback);
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_SEARCH_RUNNER_H_
