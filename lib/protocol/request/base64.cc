/// \file
/// \brief Base64 by Boost's iterators.

#include "yuccamoor/protocol/request/base64.h"

#include <algorithm>
#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <cctype>

namespace yuccamoor {
namespace {

namespace iterators = boost::archive::iterators;
using Encoder = iterators::base64_from_binary<
    iterators::transform_width<std::string_view::const_iterator, 6, 8>>;
using Decoder = iterators::transform_width<
    iterators::binary_from_base64<std::string_view::const_iterator>, 8, 6>;

constexpr std::size_t kQuantumBytes = 3;
constexpr std::size_t kQuantumChars = 4;

bool IsBase64Char(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '+' ||
         c == '/';
}

}  // namespace

std::string EncodeBase64(std::string_view bytes) {
  // The iterators read whole quanta, so that the rest is filled with zeros.
  const std::size_t rest = bytes.size() % kQuantumBytes;
  const std::size_t padding = rest == 0 ? 0 : kQuantumBytes - rest;
  const std::string padded = std::string(bytes) + std::string(padding, '\0');
  const std::string_view view = padded;
  std::string text(Encoder(view.begin()), Encoder(view.end()));
  text.replace(text.size() - padding, padding, padding, '=');
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  if (text.size() % kQuantumChars != 0) return std::nullopt;
  std::size_t padding = 0;
  while (padding < 2 && text.ends_with('=')) {
    text.remove_suffix(1);
    ++padding;
  }
  if (!std::all_of(text.begin(), text.end(), IsBase64Char)) return std::nullopt;
  const std::string padded = std::string(text) + std::string(padding, 'A');
  const std::string_view view = padded;
  std::string bytes(Decoder(view.begin()), Decoder(view.end()));
  bytes.resize(bytes.size() - padding);
  return bytes;
}

}  // namespace yuccamoor
