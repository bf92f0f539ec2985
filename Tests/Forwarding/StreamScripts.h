// Engine scripts for the stream tests, and the check of the caller's answer.
#pragma once

#include <string>
#include <vector>

#include "Forwarding/ForwardFixture.h"

namespace parsleycove {

// Header fields of a caller's stream request.
inline const std::string kStreamHeader =
  "Token-Usage: 100,40\r\nModel: m\r\nPrompt-Prefix: 1:100\r\n";

// Sends events 1 to 5, or the events after the Last-Event-Id of the request.
std::vector<StubStep>
StreamAll(const HttpRequest& aRequest);

// Sends three events and half of the fourth, then runs aLast.
std::vector<StubStep>
StreamPart(const HttpRequest& aRequest, StubStep aLast);

// Checks that the answer is complete and holds events 1 to 5 once each.
void
CheckAllEventsOnce(const std::string& aAnswer);

} // namespace parsleycove
