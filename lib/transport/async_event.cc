/// \file
/// \brief Implementation of the asynchronous event.

#include "yuccamoor/transport/async_event.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>

namespace yuccamoor {

std::shared_ptr<AsyncEvent> AsyncEvent::Create(
    const asio::any_io_executor& executor) {
  return std::shared_ptr<AsyncEvent>(new AsyncEvent(executor));
}

AsyncEvent::AsyncEvent(const asio::any_io_executor& executor)
    : m_timer(executor) {}

void AsyncEvent::Notify() {
  asio::post(m_timer.get_executor(), [self = shared_from_this()] {
    self->m_signalled = true;
    self->m_timer.cancel();
  });
}

Awaitable<bool> AsyncEvent::WaitFor(DurationMs timeout) {
  const auto self = shared_from_this();
  if (!m_signalled) {
    m_timer.expires_after(std::chrono::milliseconds(timeout.ms()));
    boost::system::error_code ignored;
    co_await m_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return std::exchange(m_signalled, false);
}

}  // namespace yuccamoor
