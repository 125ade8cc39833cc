/// \file
/// \brief One budget for the bytes that a node keeps for messages that have not
/// ended, over all its connections.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_KEPT_BYTES_H_
#define YUCCAMOOR_TRANSPORT_FLEET_KEPT_BYTES_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "yuccamoor/coordination/fleet/message_budget.h"

namespace yuccamoor::fleet {

/// The memory that a text takes up beside its object, in bytes.
std::size_t HeapBytes(const std::string& text);

/// The budget. Single-threaded.
class KeptBytes {
 private:
  struct State;

 public:
  /// What one message keeps. May outlive the budget.
  class Account {
   public:
    using GiveUp = std::function<void()>;

    /// \p give_up is called from the event loop at most once, when the message
    /// must end for the sake of others.
    Account(KeptBytes& kept, GiveUp give_up);
    ~Account();
    Account(const Account&) = delete;
    Account& operator=(const Account&) = delete;

    /// Notes what the message takes up. Returns false if it must end itself at
    /// once; it is not called back then.
    bool Set(const KeptSize& size);
    /// Notes that it takes up less than before.
    void Lower(const KeptSize& size);

   private:
    std::weak_ptr<State> m_state;
    KeptMessageId m_id;
  };

  KeptBytes(boost::asio::io_context& io, const Clock& clock,
            const MessageBudgetOptions& options = {});

  /// Ends the messages that were given up and do not know it yet. For callers
  /// that no message is in use by further up the stack.
  void EndGivenUp();

  /// What is kept now, and may be.
  std::size_t bytes() const;
  std::size_t max_bytes() const;

 private:
  std::shared_ptr<State> m_state;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_TRANSPORT_FLEET_KEPT_BYTES_H_
