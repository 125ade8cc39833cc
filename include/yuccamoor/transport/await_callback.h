/// \file
/// \brief Lets a coroutine wait for an interface that reports by callback.

#ifndef YUCCAMOOR_TRANSPORT_AWAIT_CALLBACK_H_
#define YUCCAMOOR_TRANSPORT_AWAIT_CALLBACK_H_

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <memory>
#include <utility>

#include "yuccamoor/transport/asio.h"

namespace yuccamoor {

/// Calls \p start with a callback that takes a T, and resumes the coroutine on
/// its own executor with the value. The callback must be called exactly once.
template <class T>
Awaitable<T> AwaitCallback(std::function<void(std::function<void(T)>)> start) {
  co_return co_await asio::async_initiate<const asio::use_awaitable_t<>,
                                          void(T)>(
      [](auto handler, const auto& begin) {
        using Handler = decltype(handler);
        auto shared = std::make_shared<Handler>(std::move(handler));
        begin([shared](T value) {
          const auto executor = asio::get_associated_executor(*shared);
          asio::post(executor, [shared, value = std::move(value)]() mutable {
            std::move (*shared)(std::move(value));
          });
        });
      },
      asio::use_awaitable, std::move(start));
}

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_AWAIT_CALLBACK_H_
