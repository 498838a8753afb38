// Generates the tables of docs/CAPACITY.md, and finds and replaces them in the page.
#ifndef MERLINRUN_SCALE_CAPACITY_TABLES_HPP_
#define MERLINRUN_SCALE_CAPACITY_TABLES_HPP_

#include <filesystem>
#include <string>
#include <vector>

#include "scale/capacity.hpp"

namespace merlinrun::scale {

struct Table {
  std::string name;
  std::string text;  // Markdown, ends with a newline
};

// Returns the tables slopes, roles, ranking, assumptions and agreement, in this order.
std::vector<Table> CapacityTables(const CapacityModel& model);

// Returns the text of a page with each table, between "<!-- table NAME -->" and "<!-- end NAME -->",
// replaced. Throws ScenarioError with the page and the table if the markers of a table are missing or occur
// more than once.
std::string ReplaceTables(const std::filesystem::path& page, std::string text,
                          const std::vector<Table>& tables);

// Returns the table with its markers around it.
std::string WithMarkers(const Table& table);

// Returns the names of the tables whose text in the page differs. Throws ScenarioError as ReplaceTables()
// does.
std::vector<std::string> DifferingTables(const std::filesystem::path& page, const std::string& text,
                                         const std::vector<Table>& tables);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_CAPACITY_TABLES_HPP_
