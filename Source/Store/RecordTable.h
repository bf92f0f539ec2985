// FlatBuffers tables as payloads of records.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "ConsensusGenerated.h"

namespace parsleycove {

template<typename Object>
std::vector<std::uint8_t>
EncodeTable(const Object& aObject)
{
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(Object::TableType::Pack(builder, &aObject));
  return { builder.GetBufferPointer(),
           builder.GetBufferPointer() + builder.GetSize() };
}

template<typename Object>
std::optional<Object>
DecodeTable(std::span<const std::uint8_t> aBytes)
{
  using Table = typename Object::TableType;
  flatbuffers::Verifier verifier(aBytes.data(), aBytes.size());
  if (!verifier.VerifyBuffer<Table>(nullptr)) {
    return std::nullopt;
  }
  Object object;
  flatbuffers::GetRoot<Table>(aBytes.data())->UnPackTo(&object);
  return object;
}

} // namespace parsleycove
