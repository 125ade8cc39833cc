#include "yuccamoor/protocol/json_list.h"

#include <cstddef>
#include <utility>

namespace yuccamoor {

namespace {

constexpr std::string_view kBlanks = " \t\r\n";

std::string_view Trim(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(kBlanks);
  if (begin == std::string_view::npos) return {};
  return text.substr(begin, text.find_last_not_of(kBlanks) - begin + 1);
}

// Finds the items of a list that is a member of the outermost object.
class ListSplitter {
 public:
  ListSplitter(std::string_view text, std::string_view name)
      : m_text(text), m_name(name) {}

  std::optional<JsonList> Split() {
    for (m_at = 0; m_at < m_text.size() && !m_end; ++m_at) Step(m_text[m_at]);
    if (!m_end) return std::nullopt;
    m_list.rest.append(m_text.substr(0, m_list_begin))
        .append(m_text.substr(*m_end));
    return std::move(m_list);
  }

 private:
  // Depths of the members' names and of the list's items.
  static constexpr std::size_t kMemberDepth = 1;
  static constexpr std::size_t kItemDepth = 2;

  void Step(char c) {
    switch (c) {
      case '"':
        PassString();
        break;
      case '{':
      case '[':
        ++m_depth;
        if (c == '[' && m_depth == kItemDepth && !m_in_list) BeginList();
        break;
      case '}':
      case ']':
        if (m_in_list && m_depth == kItemDepth) EndList();
        if (m_depth > 0) --m_depth;
        break;
      case ',':
        if (m_in_list && m_depth == kItemDepth) EndItem();
        break;
      default:
        break;
    }
  }

  // Moves to the string's closing quote.
  void PassString() {
    const std::size_t begin = m_at + 1;
    for (++m_at; m_at < m_text.size() && m_text[m_at] != '"'; ++m_at) {
      if (m_text[m_at] == '\\') ++m_at;
    }
    // The last string before a list is its name.
    if (m_depth == kMemberDepth && m_at < m_text.size()) {
      m_last_string = m_text.substr(begin, m_at - begin);
    }
  }

  void BeginList() {
    if (m_last_string != m_name) return;
    m_in_list = true;
    m_list_begin = m_at + 1;
    m_item_begin = m_list_begin;
  }

  void EndItem() {
    m_list.items.push_back(
        Trim(m_text.substr(m_item_begin, m_at - m_item_begin)));
    m_item_begin = m_at + 1;
  }

  void EndList() {
    EndItem();
    const bool is_empty =
        m_list.items.size() == 1 && m_list.items.front().empty();
    if (is_empty) m_list.items.clear();
    m_end = m_at;
  }

  std::string_view m_text;
  std::string_view m_name;
  JsonList m_list;
  std::size_t m_at = 0;
  std::size_t m_depth = 0;
  std::string_view m_last_string;
  bool m_in_list = false;
  std::size_t m_list_begin = 0;
  std::size_t m_item_begin = 0;
  // Where the list's closing bracket stands.
  std::optional<std::size_t> m_end;
};

}  // namespace

std::optional<JsonList> SplitJsonList(std::string_view text,
                                      std::string_view name) {
  return ListSplitter(text, name).Split();
}

}  // namespace yuccamoor
