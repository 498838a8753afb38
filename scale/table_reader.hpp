// Reads TOML files by key, and tells what is wrong with them in one line with the file and the key.
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

// Throws ScenarioError "FILE: KEY: reason" on one line, whatever the three hold. Used for every file that the
// program reads, not only for scenarios.
[[noreturn]] void RejectInput(const std::filesystem::path& file, const std::string& key,
                              const std::string& reason);

// The text with control characters, line ends among them, as spaces.
std::string OneLine(std::string text);

// The whole of a file. Throws ScenarioError if it cannot be read.
std::string ReadText(const std::filesystem::path& file);

// Throws ScenarioError with the line in place of the key if the text is not TOML.
toml::table ParseToml(const std::filesystem::path& file, const std::string& text);

// One table of a file. The table must outlive its reader.
class TableReader : public Parameters {
 public:
  // `prefix` stands before the keys in errors: "step[2].", or nothing for the whole file.
  TableReader(std::filesystem::path file, std::string prefix, const toml::table& table);

  std::int64_t Integer(const std::string& key, std::int64_t standard, std::int64_t least,
                       std::int64_t most) override;
  double Number(const std::string& key, double standard, double least, double most) override;
  bool Flag(const std::string& key, bool standard) override;
  std::string Word(const std::string& key, const std::string& standard) override;
  std::vector<std::int64_t> Integers(const std::string& key, const std::vector<std::int64_t>& standard,
                                     std::int64_t least, std::int64_t most) override;
  [[noreturn]] void Reject(const std::string& key, const std::string& reason) const override;

  // A word that must be there and not be empty.
  std::string Needed(const std::string& key);
  // The table under the key, or null if there is none.
  const toml::table* Table(const std::string& key);
  // The tables of an array of tables; none if the key is not there.
  std::vector<const toml::table*> Tables(const std::string& key);
  bool Has(const std::string& key) const;
  // Throws ScenarioError for the first key that no call has named.
  void RejectUnusedKeys() const;

 private:
  const toml::node* Find(const std::string& key);
  std::int64_t Ranged(const std::string& key, const toml::node& node, std::int64_t least,
                      std::int64_t most) const;

  std::filesystem::path file_;
  std::string prefix_;
  const toml::table& table_;
  std::set<std::string> used_;
};

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_TABLE_READER_HPP_
