// Starts coroutines whose exceptions are logged.
//
// An exception that leaves a detached coroutine ends the run of its context,
// and so the process: one unexpected message would take all requests down.
#pragma once

#include <exception>
#include <functional>
#include <string_view>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>

namespace parsleycove {

// Writes one line for the exception, if there is one. aWork names what was
// being done.
void
LogException(std::string_view aWork, const std::exception_ptr& aFault);

// aWork must outlive the coroutine; pass a literal. aDone, if not empty, runs
// after the coroutine has ended in either way.
template<typename Context>
void
SpawnLogged(Context& aContext,
            std::string_view aWork,
            boost::asio::awaitable<void> aCoroutine,
            std::function<void()> aDone = {})
{
  boost::asio::co_spawn(
    aContext,
    std::move(aCoroutine),
    [aWork, done = std::move(aDone)](const std::exception_ptr& aFault) {
      LogException(aWork, aFault);
      if (done) {
        done();
      }
    });
}

} // namespace parsleycove
