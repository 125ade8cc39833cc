/// \file
/// \brief Findings: problems in input, each with its place, collected and
/// reported together.

#ifndef YUCCAMOOR_STATE_FINDING_H_
#define YUCCAMOOR_STATE_FINDING_H_

#include <cstddef>
#include <iosfwd>
#include <string>
#include <utility>
#include <vector>

namespace yuccamoor {

/// Where in its input a finding lies. Unknown parts are empty or zero.
struct Place {
  /// The file or other source, as the user named it.
  std::string source;
  /// JSON pointer (RFC 6901) to the value.
  std::string pointer;
  /// Line and column from 1, for syntax errors.
  std::size_t line = 0;
  std::size_t column = 0;

  friend bool operator==(const Place&, const Place&) = default;
};

/// One problem with its place and, where one is known, a way to mend it.
struct Finding {
  Place place;
  std::string message;
  std::string hint;

  friend bool operator==(const Finding&, const Finding&) = default;
};

/// Writes "source:line:column pointer: message (hint)".
std::ostream& operator<<(std::ostream& os, const Finding& finding);

/// An ordered collection of findings. Empty means that nothing is wrong.
class Findings {
 public:
  Findings() = default;
  explicit Findings(Finding finding) { Add(std::move(finding)); }

  void Add(Finding finding) { m_findings.push_back(std::move(finding)); }
  void Add(Place place, std::string message, std::string hint = {}) {
    Add(Finding{std::move(place), std::move(message), std::move(hint)});
  }
  /// Appends every finding of \p other.
  void Append(const Findings& other);

  bool empty() const { return m_findings.empty(); }
  std::size_t size() const { return m_findings.size(); }
  auto begin() const { return m_findings.begin(); }
  auto end() const { return m_findings.end(); }

  /// Returns one line per finding.
  std::string ToString() const;

 private:
  std::vector<Finding> m_findings;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_STATE_FINDING_H_
