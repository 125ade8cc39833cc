#include "yuccamoor/coordination/fleet/admission_request.h"

#include <algorithm>

#include "yuccamoor/coordination/fleet/prefill_pacing.h"
#include "yuccamoor/coordination/fleet/two_choices.h"

namespace yuccamoor::fleet {

namespace {

// Some round trips between failure domains, with late wake-ups.
constexpr DurationMs kAnswerTimeout{60};
// The same if another engine has answered already.
constexpr DurationMs kFurtherAnswerTimeout{30};
// Engines that are asked as homes before the caller decides without an answer.
constexpr std::size_t kMaxHomes = 3;
constexpr DurationMs kStartAgain{150};
constexpr DurationMs kRefreshInterval{250};
// Without an answer for this long, the holder is gone.
constexpr DurationMs kHolderTimeout{600};

// The estimated time until the request starts, or nothing if the engine cannot
// serve it.
std::optional<std::int64_t> CostOf(const EngineQuote& quote) {
  if (!quote.adapter_wait) return std::nullopt;
  return quote.adapter_wait->ms() + quote.prompt_wait.ms() +
         kWaitMsPerRequest * quote.requests;
}

}  // namespace

AdmissionRequest::AdmissionRequest(std::uint64_t random, bool any_engine)
    : m_random(random), m_any_engine(any_engine) {}

AdmissionStep AdmissionRequest::Poll(const Ranking& ranking, TimeMs now) {
  switch (m_stage) {
    case Stage::kStart:
      return now >= m_start_from ? Start(ranking, now) : AdmissionStep();
    case Stage::kHome:
      return now - m_asked_at >= kAnswerTimeout ? AskNextHome(now)
                                                : AdmissionStep();
    case Stage::kCopies: {
      const bool some =
          std::any_of(m_quotes.begin(), m_quotes.end(),
                      [](const auto& item) { return item.second.has_value(); });
      const DurationMs timeout = some ? kFurtherAnswerTimeout : kAnswerTimeout;
      if (now - m_asked_at < timeout) return {};
      return some ? Decide(now) : AskNextHome(now);
    }
    case Stage::kLoading:
    case Stage::kQueued:
      return Refresh(now);
  }
  return {};
}

AdmissionStep AdmissionRequest::Start(const Ranking& ranking, TimeMs now) {
  m_ranking = ranking();
  m_expected.reset();
  if (!m_any_engine) return AskHome(0, now);
  m_attempt = kMaxHomes;
  m_quotes.clear();
  for (const EndpointId& engine : ChooseTwo(m_ranking, m_random)) {
    m_quotes[engine] = std::nullopt;
  }
  return AskCopies(now);
}

AdmissionStep AdmissionRequest::AskHome(std::size_t attempt, TimeMs now) {
  m_attempt = attempt;
  if (attempt >= std::min(kMaxHomes, m_ranking.size())) {
    m_stage = Stage::kStart;
    m_start_from = now + kStartAgain;
    AdmissionStep step;
    step.unanswered = true;
    return step;
  }
  m_stage = Stage::kHome;
  m_asked_at = now;
  AdmissionStep step;
  step.asks.push_back({m_ranking[attempt], true, false});
  return step;
}

AdmissionStep AdmissionRequest::AskNextHome(TimeMs now) {
  return AskHome(m_attempt + 1, now);
}

AdmissionStep AdmissionRequest::AskCopies(TimeMs now) {
  m_stage = Stage::kCopies;
  m_asked_at = now;
  AdmissionStep step;
  for (const auto& [engine, quote] : m_quotes) {
    if (!quote) step.asks.push_back({engine, false, false});
  }
  return step;
}

AdmissionStep AdmissionRequest::OnAnswer(const AdmissionAnswer& answer,
                                         TimeMs now) {
  const EngineQuote& quote = answer.quote;
  switch (m_stage) {
    case Stage::kStart:
      return {};
    case Stage::kHome:
      if (quote.engine != m_ranking[m_attempt]) return {};
      return TakeHomeAnswer(answer, now);
    case Stage::kCopies: {
      const auto it = m_quotes.find(quote.engine);
      if (it == m_quotes.end()) return {};
      it->second = quote;
      return AllAnswered() ? Decide(now) : AdmissionStep();
    }
    case Stage::kLoading:
      if (quote.engine != m_engine) return {};
      return TakeHomeAnswer(answer, now);
    case Stage::kQueued:
      if (quote.engine != m_engine) return {};
      break;
  }
  m_heard_at = now;
  m_expected = now + quote.prompt_wait;
  if (!quote.adapter_wait || *quote.adapter_wait > DurationMs(0)) {
    // The adapter was unloaded meanwhile.
    m_stage = Stage::kStart;
    m_start_from = now;
    return {};
  }
  if (quote.prompt_wait > DurationMs(0)) return {};
  m_stage = Stage::kStart;
  AdmissionStep step;
  step.send_to = m_engine;
  return step;
}

AdmissionStep AdmissionRequest::TakeHomeAnswer(const AdmissionAnswer& answer,
                                               TimeMs now) {
  m_quotes.clear();
  for (const EndpointId& engine : answer.choices) {
    m_quotes[engine] = std::nullopt;
  }
  if (m_quotes.empty() || m_quotes.contains(answer.quote.engine)) {
    m_quotes[answer.quote.engine] = answer.quote;
  }
  return AllAnswered() ? Decide(now) : AskCopies(now);
}

bool AdmissionRequest::AllAnswered() const {
  return std::all_of(m_quotes.begin(), m_quotes.end(),
                     [](const auto& item) { return item.second.has_value(); });
}

AdmissionStep AdmissionRequest::Decide(TimeMs now) {
  const EngineQuote* best = nullptr;
  std::optional<std::int64_t> least;
  for (const auto& [engine, quote] : m_quotes) {
    if (!quote) continue;
    const auto cost = CostOf(*quote);
    if (!cost || (least && *cost >= *least)) continue;
    best = &*quote;
    least = cost;
  }
  if (!best) return AskNextHome(now);
  m_engine = best->engine;
  m_heard_at = now;
  m_expected = now + *best->adapter_wait + best->prompt_wait;
  if (*best->adapter_wait > DurationMs(0)) {
    m_stage = Stage::kLoading;
    m_asked_at = now;
    return {};
  }
  AdmissionStep step;
  if (best->prompt_wait > DurationMs(0)) {
    m_stage = Stage::kQueued;
    m_asked_at = now;
    step.asks.push_back({m_engine, false, true});
    return step;
  }
  m_stage = Stage::kStart;
  step.send_to = m_engine;
  return step;
}

AdmissionStep AdmissionRequest::Refresh(TimeMs now) {
  if (now - m_heard_at >= kHolderTimeout) return AskNextHome(now);
  if (now - m_asked_at < kRefreshInterval && !m_ask_now) return {};
  m_ask_now = false;
  m_asked_at = now;
  AdmissionStep step;
  step.asks.push_back({m_engine, false, m_stage == Stage::kQueued});
  return step;
}

void AdmissionRequest::OnLoaded(const EndpointId& engine) {
  if (m_stage == Stage::kLoading && engine == m_engine) m_ask_now = true;
}

}  // namespace yuccamoor::fleet
