/// \file
/// \brief Tells how a publication ended, to people or scripts.

#ifndef YUCCAMOOR_TOOLS_YUCCAMOOR_PUBLISH_REPORT_H_
#define YUCCAMOOR_TOOLS_YUCCAMOOR_PUBLISH_REPORT_H_

#include <iosfwd>

#include "yuccamoor/coordination/config/publisher.h"

namespace yuccamoor {

constexpr int kExitInvalid = 1;
constexpr int kExitOverlap = 2;
constexpr int kExitGaveUp = 3;
constexpr int kExitUnknown = 4;
constexpr int kExitDiffers = 5;
constexpr int kExitUsage = 64;

constexpr char kExitCodesHelp[] =
    "Exit codes: 0 in force, or nothing wrong; 1 findings, nothing published; "
    "2 another publisher changed the same part, nothing published; 3 the "
    "service was not reached in time, nothing published; 4 the service's "
    "answer "
    "was lost, publish again to find out; 5 --diff or --dry-run found "
    "differences; 64 wrong usage.";

/// How to report.
struct ReportStyle {
  bool json = false;
  /// Show what would change.
  bool differences = false;
};

/// Writes the report and returns the exit code.
int Report(const PublishOutcome& outcome, const ReportStyle& style,
           std::ostream& out, std::ostream& err);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TOOLS_YUCCAMOOR_PUBLISH_REPORT_H_
