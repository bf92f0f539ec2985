// The last reason that goes with an empty std::optional.
#pragma once

#include <string>
#include <utility>

namespace parsleycove {

// Why a call failed: a code of the layer and a text that a person can act on.
//
// Each layer declares `using StoreReason = Reason<StoreError>` over an enum
// class of its own, whose first value stands for "no error". A layer turns the
// reasons from below into its own codes and keeps their text.
template<typename Code>
struct Reason
{
  Code m_code{};
  std::string m_text;

  void Set(Code aCode, std::string aText)
  {
    m_code = aCode;
    m_text = std::move(aText);
  }
};

} // namespace parsleycove
