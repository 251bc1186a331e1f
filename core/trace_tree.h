// Draws the spans of one request as a tree.
//
// Use:
//   std::vector<Span> spans = ...;                       // from span files
//   std::optional<TraceId> trace = FindTrace(spans, "order-1");
//   std::cout << FormatTraceTree(spans, *trace);
//
// Contract: spans whose parent is missing are drawn as roots, so a trace with a lost span still
// shows everything else. Siblings are in the order of their start.
#ifndef PERIDOTGAUGE_CORE_TRACE_TREE_H_
#define PERIDOTGAUGE_CORE_TRACE_TREE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/span.h"

namespace peridotgauge {

// Finds the trace with this id (32 hexadecimal digits), or the newest one that has a span with the
// attribute request_id of this value.
std::optional<TraceId> FindTrace(const std::vector<Span>& spans, std::string_view id);

// One line for each span: offset from the first start, duration (both in milliseconds), name, host,
// attributes, and the message of a failure.
std::string FormatTraceTree(const std::vector<Span>& spans, const TraceId& trace);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_TRACE_TREE_H_
