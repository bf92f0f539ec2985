// What engines answer in the tests of streams, and what callers must get.
#pragma once

#include <string>
#include <vector>

#include "Forwarding/ForwardFixture.h"

namespace parsleycove {

// Headers of a caller's request for a stream.
inline const std::string kStreamHeader =
  "Token-Usage: 100,40\r\nModel: m\r\nPrompt-Prefix: 1:100\r\n";

// Five events, or those after the last one that the request names.
std::vector<StubStep>
StreamAll(const HttpRequest& aRequest);

// Three events and a part of the fourth, then aLast.
std::vector<StubStep>
StreamPart(const HttpRequest& aRequest, StubStep aLast);

void
CheckAllEventsOnce(const std::string& aAnswer);

} // namespace parsleycove
