// Human-readable output of the command-line tool. The functions convert JSON responses to text and
// have no side effects. A response of an unexpected form is returned unchanged, so that no
// information is hidden.
#ifndef PERIDOTGAUGE_CORE_CLI_FORMAT_H_
#define PERIDOTGAUGE_CORE_CLI_FORMAT_H_

#include <string>

#include "core/caller_api.h"

namespace peridotgauge {

std::string FormatHistoryTable(const std::string& json);
std::string FormatStatusReport(const std::string& json);
std::string FormatTargetTable(const std::string& json);
// The text of FormatExplanation(), see core/explain.h.
std::string FormatExplanationReport(const std::string& json);
std::string FormatSearchReport(const SearchResponse& response);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_CLI_FORMAT_H_
