// Human-readable output of the command-line tool. Pure functions from JSON answers to text.
//
// Contract: an answer of an unexpected form is returned as it is, so nothing is hidden.
#ifndef PERIDOTGAUGE_CORE_CLI_FORMAT_H_
#define PERIDOTGAUGE_CORE_CLI_FORMAT_H_

#include <string>

#include "core/caller_api.h"

namespace peridotgauge {

std::string FormatHistoryTable(const std::string& json);
std::string FormatStatusReport(const std::string& json);
std::string FormatTargetTable(const std::string& json);
std::string FormatSearchReport(const SearchResponse& answer);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_CLI_FORMAT_H_
