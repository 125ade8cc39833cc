/// \file
/// \brief Measures what a catalogue of adapters costs a daemon at rising sizes:
/// memory, bytes, the time of a full load, of a change, and of a lookup; and
/// prints the slopes. Usage: config_catalogue_benchmark [ADAPTERS ...]

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "yuccamoor/coordination/config/config_content.h"
#include "yuccamoor/coordination/config/config_segments.h"
#include "yuccamoor/protocol/config/json_config_codec.h"

namespace yuccamoor {
namespace {

constexpr std::size_t kOwners = 20;
constexpr int kChanges = 15;
constexpr int kLookups = 200'000;
constexpr double kMicrosPerMilli = 1'000.0;
constexpr double kBytesPerMegabyte = 1'000'000.0;

/// What one size gave.
struct Sample {
  std::size_t adapters = 0;
  std::size_t segments = 0;
  std::size_t manifest_bytes = 0;
  std::size_t segment_bytes = 0;
  double memory_bytes = 0;
  double load_ms = 0;
  double median_delta_ms = 0;
  double worst_delta_ms = 0;
  double delta_bytes = 0;
  double lookup_ns = 0;
};

class Timer {
 public:
  double Micros() const {
    const auto elapsed = std::chrono::steady_clock::now() - m_start;
    return std::chrono::duration<double, std::micro>(elapsed).count();
  }

 private:
  std::chrono::steady_clock::time_point m_start =
      std::chrono::steady_clock::now();
};

std::size_t BytesInUse() { return mallinfo2().uordblks + mallinfo2().hblkhd; }

std::string AdapterName(std::size_t i) {
  return "customer-adapter-" + std::to_string(i);
}

ConfigUnits MakeUnits(std::size_t adapters) {
  ConfigUnits units;
  for (std::size_t i = 0; i < adapters; ++i) {
    const std::string owner = "service-" + std::to_string(i % kOwners);
    ConfigUnit& unit = units[OwnerId(owner)];
    unit.owner = OwnerId(owner);
    AdapterConfig adapter;
    adapter.id = AdapterId(AdapterName(i));
    adapter.cell = CellId("asistan-model");
    adapter.versions = {VersionId("2026-11-01"), VersionId("2026-12-01")};
    adapter.owner = unit.owner;
    unit.adapters.push_back(std::move(adapter));
  }
  return units;
}

/// A daemon's copy: fed with bytes as they come from a peer.
class Copy {
 public:
  Copy() : m_segments(m_codec) {}

  /// Takes the revision and returns the bytes that it had to receive.
  std::size_t Apply(const EncodedConfig& config, const std::string& manifest) {
    Manifest next = m_codec.DecodeManifest(manifest).value();
    std::size_t bytes = manifest.size();
    for (const SegmentNeed& need : m_segments.Missing(next)) {
      const std::string& segment = config.segments.at(need.hash);
      bytes += segment.size();
      m_segments.Add(need, segment);
    }
    m_manifest = std::move(next);
    m_revision = m_revision.Next();
    m_snapshot = m_segments.Assemble(m_manifest, m_revision);
    m_segments.Retain(m_manifest, m_manifest);
    return bytes;
  }

  const ConfigSnapshot& snapshot() const { return *m_snapshot; }

 private:
  JsonConfigCodec m_codec;
  ConfigSegments m_segments;
  Manifest m_manifest;
  Revision m_revision;
  std::shared_ptr<const ConfigSnapshot> m_snapshot;
};

void MeasureChanges(ConfigUnits units, const EncodedConfig& first, Copy& copy,
                    Sample& sample) {
  const JsonConfigCodec codec;
  std::vector<double> times;
  Manifest earlier = first.manifest;
  for (int i = 0; i < kChanges; ++i) {
    ConfigUnit& unit = units.begin()->second;
    AdapterConfig& adapter =
        unit.adapters[static_cast<std::size_t>(i) * 7 % unit.adapters.size()];
    adapter.versions.emplace_back("change-" + std::to_string(i));
    const EncodedConfig next =
        EncodeConfig(units, earlier, Revision(static_cast<std::uint64_t>(i)),
                     PublisherId("benchmark"), codec);
    const std::string manifest = codec.EncodeManifest(next.manifest);
    const Timer timer;
    sample.delta_bytes = static_cast<double>(copy.Apply(next, manifest));
    times.push_back(timer.Micros() / kMicrosPerMilli);
    earlier = next.manifest;
  }
  std::sort(times.begin(), times.end());
  sample.median_delta_ms = times[times.size() / 2];
  sample.worst_delta_ms = times.back();
}

void MeasureLookups(const Copy& copy, Sample& sample) {
  std::size_t found = 0;
  const Timer timer;
  for (int i = 0; i < kLookups; ++i) {
    const auto index = static_cast<std::size_t>(i) * 7'919 % sample.adapters;
    const AdapterId id(AdapterName(index));
    if (copy.snapshot().FindAdapter(id) != nullptr) ++found;
  }
  constexpr double kNanosPerMicro = 1'000.0;
  sample.lookup_ns = timer.Micros() * kNanosPerMicro / kLookups;
  if (found != kLookups) std::abort();
}

Sample Measure(std::size_t adapters) {
  const JsonConfigCodec codec;
  Sample sample;
  sample.adapters = adapters;
  ConfigUnits units = MakeUnits(adapters);
  const EncodedConfig encoded = EncodeConfig(units, Manifest{}, Revision(1),
                                             PublisherId("benchmark"), codec);
  const std::string manifest = codec.EncodeManifest(encoded.manifest);
  sample.manifest_bytes = manifest.size();
  sample.segments = encoded.segments.size();
  for (const auto& [hash, bytes] : encoded.segments) {
    sample.segment_bytes += bytes.size();
  }
  const std::size_t before = BytesInUse();
  const Timer timer;
  Copy copy;
  copy.Apply(encoded, manifest);
  sample.load_ms = timer.Micros() / kMicrosPerMilli;
  sample.memory_bytes = static_cast<double>(BytesInUse() - before);
  MeasureLookups(copy, sample);
  MeasureChanges(std::move(units), encoded, copy, sample);
  return sample;
}

void Print(const Sample& s) {
  std::printf(
      "adapters=%zu segments=%zu manifest_kb=%.1f segments_mb=%.2f "
      "memory_mb=%.2f load_ms=%.1f delta_ms_median=%.2f delta_ms_worst=%.2f "
      "delta_kb=%.1f lookup_ns=%.0f\n",
      s.adapters, s.segments, static_cast<double>(s.manifest_bytes) / 1e3,
      static_cast<double>(s.segment_bytes) / kBytesPerMegabyte,
      s.memory_bytes / kBytesPerMegabyte, s.load_ms, s.median_delta_ms,
      s.worst_delta_ms, s.delta_bytes / 1e3, s.lookup_ns);
}

/// Prints what each further adapter costs between the smallest and the largest
/// size.
void PrintSlopes(const Sample& small, const Sample& large) {
  const auto more = static_cast<double>(large.adapters - small.adapters);
  if (more <= 0) return;
  std::printf(
      "per adapter: memory_bytes=%.0f load_us=%.2f delta_ns=%.2f "
      "delta_bytes=%.3f manifest_bytes=%.3f\n",
      (large.memory_bytes - small.memory_bytes) / more,
      (large.load_ms - small.load_ms) * kMicrosPerMilli / more,
      (large.median_delta_ms - small.median_delta_ms) * 1e6 / more,
      (large.delta_bytes - small.delta_bytes) / more,
      static_cast<double>(large.manifest_bytes - small.manifest_bytes) / more);
}

}  // namespace
}  // namespace yuccamoor

int main(int argc, char** argv) {
  std::vector<std::size_t> sizes;
  for (int i = 1; i < argc; ++i) {
    sizes.push_back(std::strtoul(argv[i], nullptr, 10));
  }
  if (sizes.empty()) sizes = {3'000, 20'000, 60'000, 170'000};
  std::vector<yuccamoor::Sample> samples;
  for (const std::size_t size : sizes) {
    samples.push_back(yuccamoor::Measure(size));
    yuccamoor::Print(samples.back());
  }
  yuccamoor::PrintSlopes(samples.front(), samples.back());
  return 0;
}
