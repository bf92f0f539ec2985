// A value that one coroutine awaits and other code on the same thread sets.
#pragma once

#include <memory>
#include <optional>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Base/Clock.h"

namespace parsleycove {

// Invariant: used only from the thread that runs its executor.
template<typename Value>
class AsyncSlot
{
public:
  template<typename Executor>
  explicit AsyncSlot(const Executor& aExecutor)
    : m_timer(aExecutor)
  {
  }

  // Sets the value unless one is already set.
  void Set(Value aValue)
  {
    if (!m_value) {
      m_value = std::move(aValue);
      m_timer.cancel();
    }
  }

  // Returns the value, or std::nullopt if none was set within the time-out.
  boost::asio::awaitable<std::optional<Value>> Await(Duration aTimeout)
  {
    if (!m_value) {
      m_timer.expires_after(aTimeout);
      co_await m_timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    co_return std::exchange(m_value, std::nullopt);
  }

private:
  boost::asio::steady_timer m_timer;
  std::optional<Value> m_value;
};

} // namespace parsleycove
