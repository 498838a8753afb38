// The tables of docs/CAPACITY.md, and their places in it.
#ifndef MERLINRUN_SCALE_CAPACITY_TABLES_HPP_
#define MERLINRUN_SCALE_CAPACITY_TABLES_HPP_

#include <filesystem>
#include <string>
#include <vector>

#include "scale/capacity.hpp"

namespace merlinrun::scale {

struct Table {
  std::string name;
  std::string text;  // Markdown, with a line end at its end
};

// slopes, roles, ranking, assumptions and agreement, in this order.
std::vector<Table> CapacityTables(const CapacityModel& model);

// A page's text with what stands between "<!-- table NAME -->" and "<!-- end NAME -->" replaced. Throws
// ScenarioError with the page and the table if a table has no such place, or more than one.
std::string ReplaceTables(const std::filesystem::path& page, std::string text,
                          const std::vector<Table>& tables);

// The table between its markers.
std::string Marked(const Table& table);

// The names of the tables that stand otherwise in the page. Throws ScenarioError as ReplaceTables() does.
std::vector<std::string> DifferingTables(const std::filesystem::path& page, const std::string& text,
                                         const std::vector<Table>& tables);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_CAPACITY_TABLES_HPP_
