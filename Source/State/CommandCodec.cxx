// Wire form of one command of the replicated log.
#include "State/CommandCodec.h"

#include <flatbuffers/flatbuffers.h>

namespace parsleycove {

std::vector<std::uint8_t>
EncodeCommand(const state::CommandT& aCommand)
{
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(state::Command::Pack(builder, &aCommand));
  return { builder.GetBufferPointer(),
           builder.GetBufferPointer() + builder.GetSize() };
}

std::optional<state::CommandT>
DecodeCommand(const std::uint8_t* aData,
              std::size_t aSize,
              StateReason& aReason)
{
  flatbuffers::Verifier verifier(aData, aSize);
  if (!verifier.VerifyBuffer<state::Command>(nullptr)) {
    aReason.Set(StateError::Malformed,
                "command: " + std::to_string(aSize) +
                  " bytes do not verify, expected a Command buffer");
    return std::nullopt;
  }
  const auto* root = flatbuffers::GetRoot<state::Command>(aData);
  const auto type = root->body_type();
  if (type == state::CommandBody::NONE || type > state::CommandBody::MAX ||
      root->body() == nullptr) {
    aReason.Set(StateError::Malformed,
                "command: body is empty or unknown, expected one of the "
                "schema's commands");
    return std::nullopt;
  }
  state::CommandT command;
  root->UnPackTo(&command);
  return command;
}

} // namespace parsleycove
