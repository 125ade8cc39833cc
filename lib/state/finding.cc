/// \file
/// \brief Formatting and collection of findings.

#include "yuccamoor/state/finding.h"

#include <ostream>
#include <sstream>

namespace yuccamoor {

std::ostream& operator<<(std::ostream& os, const Finding& finding) {
  const Place& place = finding.place;
  if (!place.source.empty()) os << place.source << ':';
  if (place.line != 0) os << place.line << ':' << place.column << ':';
  if (!place.pointer.empty()) os << ' ' << place.pointer << ':';
  os << ' ' << finding.message;
  if (!finding.hint.empty()) os << " (" << finding.hint << ')';
  return os;
}

void Findings::Append(const Findings& other) {
  m_findings.insert(m_findings.end(), other.begin(), other.end());
}

std::string Findings::ToString() const {
  std::ostringstream os;
  for (const Finding& finding : m_findings) os << finding << '\n';
  return os.str();
}

}  // namespace yuccamoor
