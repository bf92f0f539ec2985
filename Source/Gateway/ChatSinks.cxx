// Where the tokens of a chat completion go: one body, or events.
#include "Gateway/ChatSinks.h"

#include <utility>

#include <boost/json.hpp>

#include "Gateway/Responder.h"

namespace parsleycove {

namespace json = boost::json;

namespace {

std::string
PrintEvent(const ChatNames& aNames, json::object aDelta, json::value aFinish)
{
  json::object choice{ { "index", 0 },
                       { "delta", std::move(aDelta) },
                       { "finish_reason", std::move(aFinish) } };
  const json::object event{ { "id", aNames.m_id },
                            { "object", "chat.completion.chunk" },
                            { "created", aNames.m_createdUnixS },
                            { "model", aNames.m_model },
                            { "choices", json::array{ std::move(choice) } } };
  return "data: " + json::serialize(event) + "\n\n";
}

} // namespace

TargetWatch::TargetWatch(const ClassTargets& aTargets, TimePoint aArrival)
  : m_targets(aTargets)
  , m_arrival(aArrival)
{
}

void
TargetWatch::NoteToken(TimePoint aNow)
{
  if (!m_hasFirst) {
    m_hasFirst = true;
    m_firstToken = aNow - m_arrival;
    m_isFirstInTime = m_firstToken <= m_targets.m_firstToken;
  } else {
    ++m_intervals;
    if (aNow - m_last <= m_targets.m_tokenInterval) {
      ++m_intervalsInTime;
    }
  }
  m_last = aNow;
}

asio::awaitable<bool>
TextSink::Take(const EmitToken& aToken)
{
  m_watch.NoteToken(BootClock::now());
  m_text += aToken.m_text;
  co_return true;
}

EventSink::EventSink(TargetWatch& aWatch,
                     Responder& aResponder,
                     ChatNames aNames)
  : m_watch(aWatch)
  , m_responder(aResponder)
  , m_names(std::move(aNames))
{
}

asio::awaitable<bool>
EventSink::Begin()
{
  if (m_responder.HasStarted()) {
    co_return true;
  }
  co_return co_await m_responder.BeginStream("text/event-stream");
}

asio::awaitable<bool>
EventSink::Take(const EmitToken& aToken)
{
  const bool hasBegun = co_await Begin();
  if (!hasBegun) {
    co_return false;
  }
  json::object delta{ { "content", aToken.m_text } };
  std::string event = PrintEvent(m_names, std::move(delta), nullptr);
  const bool isWritten = co_await m_responder.WritePiece(std::move(event));
  m_watch.NoteToken(BootClock::now());
  co_return isWritten;
}

asio::awaitable<void>
EventSink::End(const std::string& aFinishReason)
{
  const bool hasBegun = co_await Begin();
  if (!hasBegun) {
    co_return;
  }
  std::string event = PrintEvent(m_names, {}, json::value(aFinishReason));
  event += "data: [DONE]\n\n";
  co_await m_responder.WritePiece(std::move(event));
  co_await m_responder.EndStream();
}

asio::awaitable<void>
EventSink::Fail(const std::string& aErrorJson)
{
  std::string event = "event: error\ndata: " + aErrorJson + "\n\n";
  co_await m_responder.WritePiece(std::move(event));
  co_await m_responder.EndStream();
}

std::string
PrintCompletion(const ChatNames& aNames,
                const std::string& aText,
                const std::string& aFinishReason,
                const GenerationEnd& aEnd)
{
  json::object message{ { "role", "assistant" }, { "content", aText } };
  json::object choice{ { "index", 0 },
                       { "message", std::move(message) },
                       { "finish_reason", aFinishReason } };
  json::object usage{ { "prompt_tokens", aEnd.m_promptTokens },
                      { "completion_tokens", aEnd.m_emitted },
                      { "total_tokens",
                        aEnd.m_promptTokens + aEnd.m_emitted } };
  const json::object body{ { "id", aNames.m_id },
                           { "object", "chat.completion" },
                           { "created", aNames.m_createdUnixS },
                           { "model", aNames.m_model },
                           { "choices", json::array{ std::move(choice) } },
                           { "usage", std::move(usage) } };
  return json::serialize(body);
}

} // namespace parsleycove
