// Keeps the call of an endpoint that fell silent while a successor serves the
// request.
#pragma once

#include <functional>
#include <string>

#include "Forwarding/EndpointCall.h"

namespace parsleycove {

// A suspended call and the bytes of the answer that were read but not used.
//
// Invariant: the kept call is suspended and watched; it is closed when it is
// dropped.
class SilentCall
{
public:
  SilentCall() = default;
  ~SilentCall() { Drop(); }
  SilentCall(const SilentCall&) = delete;
  SilentCall& operator=(const SilentCall&) = delete;

  // Keeps a suspended call unless one is kept already: the first one is as far
  // as all later ones. Calls aOnAnswer once when the endpoint goes on. aMayEnd
  // tells that the answer is complete if the endpoint sends nothing more and
  // ends the connection in order; it counts only for an answer that has no
  // other end.
  void Keep(EndpointCallPtr aCall,
            std::string aUnusedBytes,
            bool aMayEnd,
            std::function<void()> aOnAnswer);
  // Resumes the kept call and gives it up. Sets aUnusedBytes to the bytes that
  // were kept with it.
  EndpointCallPtr Resume(std::string& aUnusedBytes);
  // Closes the kept call, if there is one.
  void Drop();

  bool IsKept() const { return m_call != nullptr; }
  // Returns true if the endpoint has gone on with its answer or completed it.
  bool HasAnswered() const { return m_hasAnswered; }
  // Requires IsKept().
  const Runner& Target() const { return *m_call->Target(); }

private:
  void OnReadable();

  EndpointCallPtr m_call;
  std::string m_unusedBytes;
  std::function<void()> m_onAnswer;
  bool m_mayEnd = false;
  bool m_hasAnswered = false;
};

} // namespace parsleycove
