// Keeps the call of an endpoint that fell silent while a successor serves the
// request.
#include "Forwarding/SilentCall.h"

#include <utility>

namespace parsleycove {

void
SilentCall::Keep(EndpointCallPtr aCall,
                 std::string aUnusedBytes,
                 bool aMayEnd,
                 std::function<void()> aOnAnswer)
{
  if (m_call) {
    aCall->Abort(aCall->End());
    return;
  }
  m_call = std::move(aCall);
  m_unusedBytes = std::move(aUnusedBytes);
  m_mayEnd = aMayEnd;
  m_onAnswer = std::move(aOnAnswer);
  m_hasAnswered = false;
  m_call->WatchWhileSuspended([this] { OnReadable(); });
}

void
SilentCall::OnReadable()
{
  const bool isComplete = m_mayEnd && m_call->HasEndedWithConnection();
  if (!isComplete && !m_call->HasUnreadBytes()) {
    // The endpoint has closed the connection before the end of its answer.
    Drop();
    return;
  }
  m_hasAnswered = true;
  m_onAnswer();
}

EndpointCallPtr
SilentCall::Resume(std::string& aUnusedBytes)
{
  EndpointCallPtr call = std::exchange(m_call, nullptr);
  aUnusedBytes = std::exchange(m_unusedBytes, {});
  m_hasAnswered = false;
  call->Resume();
  return call;
}

void
SilentCall::Drop()
{
  if (m_call) {
    m_call->Resume();
    m_call->Abort(CallEnd::Superseded);
    m_call = nullptr;
  }
  m_unusedBytes.clear();
  m_hasAnswered = false;
}

} // namespace parsleycove
