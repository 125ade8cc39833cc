/// \file
/// \brief The parts of Boost.Asio that transport headers use, under short
/// names.

#ifndef YUCCAMOOR_TRANSPORT_ASIO_H_
#define YUCCAMOOR_TRANSPORT_ASIO_H_

// Boost 1.74's awaitable.hpp uses std::exchange without including it.
#include <utility>
// The order matters.
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace yuccamoor {

namespace asio = boost::asio;

/// A coroutine that yields a T.
template <class T>
using Awaitable = asio::awaitable<T>;

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_ASIO_H_
