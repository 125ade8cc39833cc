/// \file
/// \brief Implementation of the report.

#include "report.h"

#include <cstdlib>
#include <ostream>
#include <string>
#include <vector>

#include "yuccamoor/protocol/config/config_diff.h"
#include "yuccamoor/protocol/json.h"

namespace yuccamoor {
namespace {

/// The words and the exit code of a status.
struct StatusText {
  PublishStatus status;
  const char* name;
  const char* text;
  int exit_code;
};

constexpr StatusText kStatusTexts[] = {
    {PublishStatus::kAccepted, "accepted", "in force", EXIT_SUCCESS},
    {PublishStatus::kUnchanged, "unchanged", "in force already", EXIT_SUCCESS},
    {PublishStatus::kWouldPublish, "checked", "nothing wrong", EXIT_SUCCESS},
    {PublishStatus::kInvalid, "invalid", "nothing was published", kExitInvalid},
    {PublishStatus::kUnknownRevision, "unknown_revision",
     "that revision is not in the history; nothing was published",
     kExitInvalid},
    {PublishStatus::kOverlap, "overlap", "nothing was published", kExitOverlap},
    {PublishStatus::kGaveUp, "gave_up",
     "the key-value service was not reached in time; nothing was published",
     kExitGaveUp},
    {PublishStatus::kUnknown, "unknown",
     "the service's answer was lost; publish again to find out", kExitUnknown},
    {PublishStatus::kPending, "pending", "not finished", kExitUnknown},
};

const StatusText& TextOf(PublishStatus status) {
  for (const StatusText& text : kStatusTexts) {
    if (text.status == status) return text;
  }
  return kStatusTexts[0];
}

Json FindingsToJson(const Findings& findings) {
  Json list = Json::array();
  for (const Finding& f : findings) {
    list.push_back({{"file", f.place.source},
                    {"pointer", f.place.pointer},
                    {"line", f.place.line},
                    {"column", f.place.column},
                    {"message", f.message},
                    {"hint", f.hint}});
  }
  return list;
}

void WriteJson(const PublishOutcome& outcome, const StatusText& text,
               const std::vector<ConfigDifference>& differences,
               std::ostream& out) {
  Json json;
  json["status"] = text.name;
  json["revision"] = outcome.revision;
  json["findings"] = FindingsToJson(outcome.findings);
  json["differences"] = differences;
  if (outcome.status == PublishStatus::kOverlap) {
    json["winner"] = outcome.winner;
    json["owner"] = outcome.overlap;
  }
  out << json.dump(2) << '\n';
}

}  // namespace

int Report(const PublishOutcome& outcome, const ReportStyle& style,
           std::ostream& out, std::ostream& err) {
  const StatusText& text = TextOf(outcome.status);
  std::vector<ConfigDifference> differences;
  if (style.differences && outcome.status == PublishStatus::kWouldPublish) {
    differences = DiffUnits(outcome.before, outcome.after);
  }
  const int exit_code = differences.empty() ? text.exit_code : kExitDiffers;
  if (style.json) {
    WriteJson(outcome, text, differences, out);
    return exit_code;
  }
  err << outcome.findings.ToString();
  for (const ConfigDifference& difference : differences) {
    out << difference << '\n';
  }
  if (outcome.status == PublishStatus::kOverlap) {
    err << outcome.winner << " changed the part of owner " << outcome.overlap
        << " meanwhile: merge with it and publish again\n";
  }
  out << text.text;
  if (outcome.revision != Revision()) out << ", revision " << outcome.revision;
  out << '\n';
  return exit_code;
}

}  // namespace yuccamoor
