// Counts what one call holds of an answer that was not yet passed on.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

#include "Forwarding/ReceiveBudget.h"

namespace parsleycove {

class HeldAnswer final : public ReceiveBudget::Reader
{
public:
  // aOnRefused breaks the call off; called at most once.
  HeldAnswer(std::shared_ptr<ReceiveBudget> aBudget,
             std::function<void()> aOnRefused)
    : Reader(std::move(aBudget))
    , m_onRefused(std::move(aOnRefused))
  {
  }

  // Records that the call holds aBytes now. Returns false once the answer was
  // refused in favour of others.
  bool Hold(std::size_t aBytes);
  // Records that the call holds nothing any more.
  void Release() { Budget().Release(*this); }
  void OnRefused() override;

private:
  const std::function<void()> m_onRefused;
  bool m_isRefused = false;
};

} // namespace parsleycove
