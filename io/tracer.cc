// Implements the recording of spans.
#include "io/tracer.h"

namespace peridotgauge {

ActiveSpan Tracer::Begin(const std::optional<SpanContext>& parent, std::string_view name,
                         int64_t start_ns) {
  ActiveSpan active;
  active.span.context = parent ? this->ids.ChildOf(*parent) : this->ids.NewTrace();
  active.recorded = this->writer.Enabled() && active.span.context.sampled;
  if (!active.recorded) return active;
  active.span.parent = parent ? parent->span : 0;
  active.span.name = name;
  active.span.host = this->host;
  active.span.start_ns = start_ns;
  return active;
}

void Tracer::End(ActiveSpan span, int64_t end_ns, const std::optional<Error>& error) {
  if (!span.recorded) return;
  span.span.end_ns = end_ns;
  span.span.status = error ? SpanStatus::kError : SpanStatus::kOk;
  if (error) span.span.message = error->ToString();
  this->writer.Add(span.span);
}

}  // namespace peridotgauge
