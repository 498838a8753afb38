// Reads TOML files by key and reports errors in one line with the file and the key.
#ifndef MERLINRUN_SCALE_TABLE_READER_HPP_
#define MERLINRUN_SCALE_TABLE_READER_HPP_

#include <toml++/toml.h>

#include <cstdint>
#include <filesystem>
#include <set>
#include <string>
#include <vector>

#include "scale/step.hpp"

namespace merlinrun::scale {

// Throws ScenarioError "FILE: KEY: reason". Control characters in the arguments become spaces, so that the
// message is one line. Used for every file that the program reads, not only for scenarios.
[[noreturn]] void RejectInput(const std::filesystem::path& file, const std::string& key,
                              const std::string& reason);

// Returns the text with all control characters, including line ends, replaced by spaces.
std::string OneLine(std::string text);

// Returns the content of a file. Throws ScenarioError if it cannot be read.
std::string ReadText(const std::filesystem::path& file);

// Throws ScenarioError, with the line number instead of a key, if the text is not valid TOML.
toml::table ParseToml(const std::filesystem::path& file, const std::string& text);

// Reads one table of a file. The table must outlive the reader.
class TableReader : public Parameters {
 public:
  // `prefix` is put before the keys in errors: "step[2].", or "" for the top level of the file.
  TableReader(std::filesystem::path file, std::string prefix, const toml::table& table);

  std::int64_t Integer(const std::string& key, std::int64_t default_value, std::int64_t min,
                       std::int64_t max) override;
  double Number(const std::string& key, double default_value, double min, double max) override;
  bool Flag(const std::string& key, bool default_value) override;
  std::string String(const std::string& key, const std::string& default_value) override;
  std::vector<std::int64_t> Integers(const std::string& key, const std::vector<std::int64_t>& default_value,
                                     std::int64_t min, std::int64_t max) override;
  [[noreturn]] void Reject(const std::string& key, const std::string& reason) const override;

  // Returns a string that must be present and not empty.
  std::string RequiredString(const std::string& key);
  // Returns the table under the key, or null if the key is missing.
  const toml::table* Table(const std::string& key);
  // Returns the tables of an array of tables; empty if the key is missing.
  std::vector<const toml::table*> Tables(const std::string& key);
  bool Has(const std::string& key) const;
  // Throws ScenarioError for the first key that was not read by any of the functions above.
  void RejectUnusedKeys() const;

 private:
  const toml::node* Find(const std::string& key);
  std::int64_t CheckedInteger(const std::string& key, const toml::node& node, std::int64_t min,
                              std::int64_t max) const;

  std::filesystem::path file_;
  std::string prefix_;
  const toml::table& table_;
  std::set<std::string> used_;
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_TABLE_READER_HPP_
