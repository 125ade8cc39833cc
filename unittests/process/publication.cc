/// \file
/// \brief Implementation of publications and the watch of revisions.

#include "process/publication.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iterator>
#include <utility>

namespace yuccamoor {
namespace {

/// Between two looks at all daemons.
constexpr auto kPollInterval = std::chrono::milliseconds(10);

std::string WriteOwnerFile(const std::string& path, const std::string& owner,
                           const std::string& generation) {
  const Json adapter{{"cell", "cell"}, {"versions", {"v1"}}};
  Json config{{"owner", owner}};
  for (const char* side : {"left-", "right-"}) {
    config["adapters"][side + generation] = adapter;
  }
  std::ofstream(path) << config.dump(1);
  return path;
}

Json ReadReport(const std::string& path) {
  std::ifstream file(path);
  const std::string text((std::istreambuf_iterator<char>(file)), {});
  Json report = Json::parse(text, nullptr, false);
  return report.is_object() ? report : Json::object();
}

}  // namespace

Publication::Publication(const Cluster& cluster, const std::string& owner,
                         const std::string& generation)
    : m_generation(generation),
      m_report(cluster.folder() + "/" + generation + ".report"),
      m_process(std::string(YUCCAMOOR_BIN_FOLDER) + "/yuccamoor-publish",
                {"--json", "--kv", cluster.Address("kv"), "--publisher", owner,
                 WriteOwnerFile(cluster.folder() + "/" + generation + ".json",
                                owner, generation)},
                m_report) {}

bool Publication::Accepted() { return m_process.Wait() == 0; }

std::uint64_t Publication::Revision() const {
  return ReadReport(m_report).value("revision", std::uint64_t{0});
}

std::string Publication::Status() const {
  return ReadReport(m_report).value("status", "");
}

RevisionWatch::RevisionWatch(const Cluster& cluster,
                             const std::vector<std::string>& daemons) {
  for (const std::string& name : daemons) {
    m_daemons[name].operator_address = cluster.Address(name + "/operator");
  }
  m_thread = std::thread([this] { Run(); });
}

RevisionWatch::~RevisionWatch() {
  m_stop = true;
  m_thread.join();
}

void RevisionWatch::Run() {
  std::map<std::string, std::string> addresses;
  for (const auto& [name, daemon] : m_daemons) {
    addresses[name] = daemon.operator_address;
  }
  while (!m_stop) {
    for (const auto& [name, address] : addresses) {
      const std::uint64_t life = LifeOf(name);
      const std::string text = m_http.Get(address, "/admin/status");
      OnReport(name, life, Json::parse(text, nullptr, false));
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

std::uint64_t RevisionWatch::LifeOf(const std::string& name) const {
  const std::lock_guard lock(m_mutex);
  return m_daemons.at(name).life;
}

void RevisionWatch::OnEnd(const std::string& name) {
  const std::lock_guard lock(m_mutex);
  Daemon& daemon = m_daemons.at(name);
  ++daemon.life;
  daemon.revision = 0;
  daemon.ready_reports = 0;
}

void RevisionWatch::OnReport(const std::string& name, std::uint64_t life,
                             const Json& report) {
  const std::lock_guard lock(m_mutex);
  Daemon& daemon = m_daemons.at(name);
  if (life != daemon.life) return;
  if (!report.is_object()) {
    daemon.ready_reports = 0;
    return;
  }
  ++m_reports;
  const auto revision = report.at("revision").get<std::uint64_t>();
  const bool ready = report.at("ready").get<bool>();
  daemon.ready_reports = ready ? daemon.ready_reports + 1 : 0;
  // A report names the revision from just before it looks whether it is ready,
  // so that the first ready one may name the revision before.
  const bool back_while_ready =
      daemon.ready_reports > 1 && revision < daemon.highest;
  if (revision < daemon.revision || back_while_ready) {
    m_violations += name + " went back from " + std::to_string(daemon.highest) +
                    " to " + std::to_string(revision) + "\n";
  }
  daemon.revision = revision;
  daemon.highest = std::max(daemon.highest, revision);
}

bool RevisionWatch::AllReadyWith(std::uint64_t revision) const {
  const std::lock_guard lock(m_mutex);
  return std::all_of(m_daemons.begin(), m_daemons.end(),
                     [revision](const auto& entry) {
                       return entry.second.ready_reports > 1 &&
                              entry.second.revision >= revision;
                     });
}

std::string RevisionWatch::violations() const {
  const std::lock_guard lock(m_mutex);
  return m_violations;
}

std::uint64_t RevisionWatch::reports() const {
  const std::lock_guard lock(m_mutex);
  return m_reports;
}

}  // namespace yuccamoor
