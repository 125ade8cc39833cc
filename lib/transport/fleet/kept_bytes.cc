#include "yuccamoor/transport/fleet/kept_bytes.h"

#include <boost/asio/post.hpp>
#include <deque>
#include <map>
#include <utility>

namespace yuccamoor::fleet {

std::size_t HeapBytes(const std::string& text) {
  const std::size_t in_place = std::string().capacity();
  return text.capacity() > in_place ? text.capacity() : 0;
}

struct KeptBytes::State {
  State(boost::asio::io_context& event_loop, const Clock& its_clock,
        const MessageBudgetOptions& options)
      : io(event_loop), clock(its_clock), budget(options) {}

  void EndGivenUp() {
    // Ending one message may give up others.
    while (!given_up.empty()) {
      const auto it = accounts.find(given_up.front());
      given_up.pop_front();
      if (it == accounts.end()) continue;
      const Account::GiveUp give_up = it->second;
      give_up();
    }
  }

  boost::asio::io_context& io;
  const Clock& clock;
  MessageBudget budget;
  std::map<KeptMessageId, Account::GiveUp> accounts;
  std::deque<KeptMessageId> given_up;
  std::uint64_t last_id = 0;
};

KeptBytes::KeptBytes(boost::asio::io_context& io, const Clock& clock,
                     const MessageBudgetOptions& options)
    : m_state(std::make_shared<State>(io, clock, options)) {}

void KeptBytes::EndGivenUp() { m_state->EndGivenUp(); }

std::size_t KeptBytes::max_bytes() const { return m_state->budget.max_bytes(); }

std::size_t KeptBytes::bytes() const { return m_state->budget.bytes(); }

KeptBytes::Account::Account(KeptBytes& kept, GiveUp give_up)
    : m_state(kept.m_state), m_id(KeptMessageId{++kept.m_state->last_id}) {
  kept.m_state->accounts.emplace(m_id, std::move(give_up));
}

KeptBytes::Account::~Account() {
  const auto state = m_state.lock();
  if (!state) return;
  state->budget.Remove(m_id);
  state->accounts.erase(m_id);
}

void KeptBytes::Account::Lower(const KeptSize& size) {
  const auto state = m_state.lock();
  if (state) state->budget.Set(m_id, size, state->clock.Now());
}

bool KeptBytes::Account::Set(const KeptSize& size) {
  const auto state = m_state.lock();
  if (!state) return true;
  const TimeMs now = state->clock.Now();
  state->budget.Set(m_id, size, now);
  bool goes_on = true;
  while (const auto excess = state->budget.TakeExcess(now)) {
    if (*excess == m_id) {
      goes_on = false;
      continue;
    }
    // The other message may be in use further up the stack.
    state->given_up.push_back(*excess);
    boost::asio::post(state->io, [weak = m_state] {
      const auto owner = weak.lock();
      if (owner) owner->EndGivenUp();
    });
  }
  return goes_on;
}

}  // namespace yuccamoor::fleet
