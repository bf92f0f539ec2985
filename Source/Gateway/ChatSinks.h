// Where the tokens of a chat completion go: one body, or events.
#pragma once

#include <string>

#include "Gateway/Generation.h"

namespace parsleycove {

class Responder;

// Names that every object of one completion carries.
struct ChatNames
{
  std::string m_id;
  std::string m_model;
  std::uint64_t m_createdUnixS = 0;
};

// Measures the class's targets as tokens pass.
class TargetWatch
{
public:
  TargetWatch(const ClassTargets& aTargets, TimePoint aArrival);

  void NoteToken(TimePoint aNow);
  // True while the first token came in time; false without any token.
  bool IsFirstInTime() const { return m_hasFirst && m_isFirstInTime; }
  Duration FirstToken() const { return m_firstToken; }
  // Tokens after the first, and how many of them were in time.
  std::uint32_t Intervals() const { return m_intervals; }
  std::uint32_t IntervalsInTime() const { return m_intervalsInTime; }

private:
  const ClassTargets m_targets;
  const TimePoint m_arrival;
  TimePoint m_last;
  Duration m_firstToken{};
  bool m_hasFirst = false;
  bool m_isFirstInTime = false;
  std::uint32_t m_intervals = 0;
  std::uint32_t m_intervalsInTime = 0;
};

// Collects the whole text.
class TextSink final : public TokenSink
{
public:
  explicit TextSink(TargetWatch& aWatch)
    : m_watch(aWatch)
  {
  }
  asio::awaitable<bool> Take(const EmitToken& aToken) override;
  const std::string& Text() const { return m_text; }

private:
  TargetWatch& m_watch;
  std::string m_text;
};

// Writes each token as a server-sent event. The answer begins with the first
// token, so that a refusal before it keeps its own status.
class EventSink final : public TokenSink
{
public:
  EventSink(TargetWatch& aWatch, Responder& aResponder, ChatNames aNames);
  asio::awaitable<bool> Take(const EmitToken& aToken) override;
  // Writes the last event, which says why the text ended.
  asio::awaitable<void> End(const std::string& aFinishReason);
  // Writes an error event; the stream ends without the closing mark.
  asio::awaitable<void> Fail(const std::string& aErrorJson);

private:
  asio::awaitable<bool> Begin();

  TargetWatch& m_watch;
  Responder& m_responder;
  const ChatNames m_names;
};

// The whole answer's body.
std::string
PrintCompletion(const ChatNames& aNames,
                const std::string& aText,
                const std::string& aFinishReason,
                const GenerationEnd& aEnd);

} // namespace parsleycove
