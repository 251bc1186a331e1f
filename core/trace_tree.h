// Formats the spans of one trace as a tree.
//
// Use:
//   std::vector<Span> spans = ...;                       // from span files
//   std::optional<TraceId> trace = FindTrace(spans, "order-1");
//   std::cout << FormatTraceTree(spans, *trace);
//
// A span whose parent is missing is shown as a root, so that all other spans of a trace remain
// visible when one is lost. Siblings are ordered by start time.
#ifndef PERIDOTGAUGE_CORE_TRACE_TREE_H_
#define PERIDOTGAUGE_CORE_TRACE_TREE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/span.h"

namespace peridotgauge {

// Returns `id` itself if it is a trace id (32 hexadecimal digits); otherwise the newest trace that
// has a span with the attribute request_id=`id`, or nullopt if there is none.
std::optional<TraceId> FindTrace(const std::vector<Span>& spans, std::string_view id);

// Returns one line per span: offset from the start of the trace, duration (both in milliseconds),
// name, host, attributes, and the error message of a failed span.
std::string FormatTraceTree(const std::vector<Span>& spans, const TraceId& trace);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_TRACE_TREE_H_
