#include "scale/table_reader.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>

namespace merlinrun::scale {
namespace {

std::string RangeMessage(const std::string& min, const std::string& max) {
  return "must be from " + min + " to " + max;
}

std::string NumberText(double value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

}  // namespace

std::string OneLine(std::string text) {
  std::replace_if(
      text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; }, ' ');
  return text;
}

void RejectInput(const std::filesystem::path& file, const std::string& key, const std::string& reason) {
  throw ScenarioError(OneLine(file.string() + ": " + key + ": " + reason));
}

std::string ReadText(const std::filesystem::path& file) {
  std::error_code unknown;
  std::ifstream in(file, std::ios::binary);
  if (!in || std::filesystem::is_directory(file, unknown)) RejectInput(file, "file", "cannot be read");
  std::string text{std::istreambuf_iterator<char>(in), {}};
  if (in.bad()) RejectInput(file, "file", "cannot be read");
  return text;
}

toml::table ParseToml(const std::filesystem::path& file, const std::string& text) {
  try {
    return toml::parse(text);
  } catch (const toml::parse_error& error) {
    RejectInput(file, "line " + std::to_string(error.source().begin.line), std::string(error.description()));
  }
}

TableReader::TableReader(std::filesystem::path file, std::string prefix, const toml::table& table)
    : file_(std::move(file)), prefix_(std::move(prefix)), table_(table) {}

void TableReader::Reject(const std::string& key, const std::string& reason) const {
  RejectInput(file_, prefix_ + key, reason);
}

const toml::node* TableReader::Find(const std::string& key) {
  used_.insert(key);
  return table_.get(key);
}

bool TableReader::Has(const std::string& key) const { return table_.contains(key); }

std::int64_t TableReader::CheckedInteger(const std::string& key, const toml::node& node, std::int64_t min,
                                         std::int64_t max) const {
  if (!node.is_integer()) Reject(key, "must be a whole number");
  const std::int64_t value = node.as_integer()->get();
  if (value < min || value > max) Reject(key, RangeMessage(std::to_string(min), std::to_string(max)));
  return value;
}

std::int64_t TableReader::Integer(const std::string& key, std::int64_t default_value, std::int64_t min,
                                  std::int64_t max) {
  const toml::node* node = Find(key);
  return node == nullptr ? default_value : CheckedInteger(key, *node, min, max);
}

double TableReader::Number(const std::string& key, double default_value, double min, double max) {
  const toml::node* node = Find(key);
  if (node == nullptr) return default_value;
  if (!node->is_number()) Reject(key, "must be a number");
  const double value = *node->value<double>();
  // Written so that NaN, for which every comparison is false, is rejected as well.
  if (!(value >= min && value <= max)) Reject(key, RangeMessage(NumberText(min), NumberText(max)));
  return value;
}

bool TableReader::Flag(const std::string& key, bool default_value) {
  const toml::node* node = Find(key);
  if (node == nullptr) return default_value;
  if (!node->is_boolean()) Reject(key, "must be true or false");
  return node->as_boolean()->get();
}

std::string TableReader::String(const std::string& key, const std::string& default_value) {
  const toml::node* node = Find(key);
  if (node == nullptr) return default_value;
  if (!node->is_string()) Reject(key, "must be a string");
  return node->as_string()->get();
}

std::vector<std::int64_t> TableReader::Integers(const std::string& key,
                                                const std::vector<std::int64_t>& default_value,
                                                std::int64_t min, std::int64_t max) {
  const toml::node* node = Find(key);
  std::vector<std::int64_t> values;
  if (node == nullptr) {
    values = default_value;
  } else if (const toml::array* array = node->as_array()) {
    for (const toml::node& item : *array) values.push_back(CheckedInteger(key, item, min, max));
  } else {
    Reject(key, "must be a list of whole numbers");
  }
  if (values.empty()) Reject(key, "must contain at least one size");
  return values;
}

std::string TableReader::RequiredString(const std::string& key) {
  std::string value = String(key, "");
  if (value.empty()) Reject(key, Has(key) ? "must not be empty" : "is missing");
  return value;
}

const toml::table* TableReader::Table(const std::string& key) {
  const toml::node* node = Find(key);
  if (node == nullptr) return nullptr;
  if (!node->is_table()) Reject(key, "must be a table");
  return node->as_table();
}

std::vector<const toml::table*> TableReader::Tables(const std::string& key) {
  const toml::node* node = Find(key);
  std::vector<const toml::table*> tables;
  if (node == nullptr) return tables;
  const toml::array* array = node->as_array();
  if (array == nullptr) Reject(key, "must be an array of tables, each under [[" + key + "]]");
  for (const toml::node& item : *array) {
    if (!item.is_table()) Reject(key, "must be an array of tables, each under [[" + key + "]]");
    tables.push_back(item.as_table());
  }
  return tables;
}

void TableReader::RejectUnusedKeys() const {
  for (const auto& [key, node] : table_) {
    if (!used_.contains(std::string(key.str()))) Reject(std::string(key.str()), "is not a known key");
  }
}

}  // namespace merlinrun::scale
