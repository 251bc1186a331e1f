// Formats the spans of one trace as a tree.
#include "core/trace_tree.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>

namespace peridotgauge {
namespace {

constexpr double kNanosPerMilli = 1e6;

struct Tree {
  std::map<uint64_t, std::vector<const Span*>> children;  // by id of the parent; 0 for roots
  int64_t start_ns = 0;                                   // of the whole trace
};

std::string FormatLine(const Span& span, size_t depth, int64_t start_ns) {
  char times[48];
  std::snprintf(times, sizeof(times), "%9.2f ms %9.2f ms  ",
                static_cast<double>(span.start_ns - start_ns) / kNanosPerMilli,
                static_cast<double>(span.end_ns - span.start_ns) / kNanosPerMilli);
  std::string line = times + std::string(2 * depth, ' ') + span.name + " @" + span.host;
  for (const SpanAttribute& attribute : span.attributes) {
    line += " " + attribute.key + "=" + attribute.value;
  }
  if (span.status == SpanStatus::kError) line += " [" + span.message + "]";
  return line + "\n";
}

void AppendChildren(const Tree& tree, uint64_t parent, size_t depth, std::string& out) {
  const auto children = tree.children.find(parent);
  if (children == tree.children.end()) return;
  for (const Span* span : children->second) {
    out += FormatLine(*span, depth, tree.start_ns);
    if (span->context.span != parent) AppendChildren(tree, span->context.span, depth + 1, out);
  }
}

Tree BuildTree(const std::vector<Span>& spans, const TraceId& trace) {
  std::vector<const Span*> members;
  std::set<uint64_t> ids;
  for (const Span& span : spans) {
    if (span.context.trace != trace || !ids.insert(span.context.span).second) continue;
    members.push_back(&span);
  }
  std::sort(members.begin(), members.end(),
            [](const Span* a, const Span* b) { return a->start_ns < b->start_ns; });
  Tree tree;
  if (!members.empty()) tree.start_ns = members.front()->start_ns;
  for (const Span* span : members) {
    tree.children[ids.contains(span->parent) ? span->parent : 0].push_back(span);
  }
  return tree;
}

}  // namespace

std::optional<TraceId> FindTrace(const std::vector<Span>& spans, std::string_view id) {
  if (const auto trace = ParseTraceId(id)) return trace;
  const Span* newest = nullptr;
  for (const Span& span : spans) {
    const bool named =
        std::any_of(span.attributes.begin(), span.attributes.end(),
                    [&](const SpanAttribute& a) { return a.key == "request_id" && a.value == id; });
    if (named && (newest == nullptr || span.start_ns > newest->start_ns)) newest = &span;
  }
  if (newest == nullptr) return std::nullopt;
  return newest->context.trace;
}

std::string FormatTraceTree(const std::vector<Span>& spans, const TraceId& trace) {
  const Tree tree = BuildTree(spans, trace);
  std::string out;
  AppendChildren(tree, 0, 0, out);
  return out;
}

}  // namespace peridotgauge
