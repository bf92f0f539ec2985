// What engines answer in the tests of streams, and what callers must get.
#include "Forwarding/StreamScripts.h"

#include <utility>

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

namespace parsleycove {

namespace {

int
FirstEventOf(const HttpRequest& aRequest)
{
  const std::string last(aRequest["Last-Event-Id"]);
  return last.empty() ? 1 : std::stoi(last) + 1;
}

} // namespace

std::vector<StubStep>
StreamAll(const HttpRequest& aRequest)
{
  std::vector<StubStep> steps{ Send(MakeStreamHead(AttemptIdOf(aRequest))) };
  for (int id = FirstEventOf(aRequest); id <= 5; ++id) {
    steps.push_back(Send(MakeEvent(id)));
  }
  steps.push_back(Send(MakeStreamEnd()));
  return steps;
}

std::vector<StubStep>
StreamPart(const HttpRequest& aRequest, StubStep aLast)
{
  const std::string fourth = MakeEvent(4);
  return { Send(MakeStreamHead(AttemptIdOf(aRequest))),
           Send(MakeEvent(1) + MakeEvent(2) + MakeEvent(3)),
           Send(fourth.substr(0, fourth.size() / 2)),
           std::move(aLast) };
}

void
CheckAllEventsOnce(const std::string& aAnswer)
{
  const std::vector<int> expected{ 1, 2, 3, 4, 5 };
  CHECK(EventsOf(aAnswer) == expected);
  CHECK(IsComplete(aAnswer));
}
} // namespace parsleycove
