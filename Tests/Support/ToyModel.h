// A deterministic integer model that stands in for a language model.
//
// Each layer keeps one accumulator per stream (its KV cache) that depends on
// every input and its order, so a layer that is skipped, run twice or run out
// of order changes every later token.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace parsleycove::toy {

// What one layer hands to the next for one position; below 2^48, so that any
// JSON library carries it exactly.
using Hidden = std::uint64_t;
using TokenId = std::uint32_t;

// The KV cache of one layer and stream.
using Accumulator = std::uint64_t;

struct Token
{
  TokenId m_id = 0;
  std::string m_text; // empty for the end token
  bool m_end = false;
};

// Splits at white space and hashes each word to an id.
std::vector<TokenId>
Tokenize(std::string_view aText);

// Runs one layer for one position and advances its accumulator.
Hidden
RunLayer(std::uint32_t aLayer,
         std::uint64_t aPosition,
         Hidden aInput,
         Accumulator& aAccumulator);

// Picks the token that follows the last layer's output at a position.
Token
PickToken(Hidden aOutput, std::uint64_t aPosition, std::uint64_t aSeed);

// Runs the whole model: the text of at most aMaxTokens tokens.
std::string
Generate(std::string_view aPrompt,
         std::uint32_t aLayers,
         std::uint64_t aSeed,
         std::uint32_t aMaxTokens);

// As Generate, token by token; the end token, if reached, is the last one.
std::vector<Token>
GenerateTokens(std::string_view aPrompt,
               std::uint32_t aLayers,
               std::uint64_t aSeed,
               std::uint32_t aMaxTokens);

} // namespace parsleycove::toy
