#include <gtest/gtest.h>

#include <cmath>

#include "fake_steps.hpp"
#include "scale/capacity_tables.hpp"
#include "scale/fit.hpp"
#include "scale/formula.hpp"

namespace merlinrun::scale::testing {
namespace {

Sample MakeSample(double listed, double bytes, int repeat = 0) {
  return {"fake", {{"listed", listed}}, {{"memory_bytes", bytes}}, repeat};
}

const SeriesName kSeries = {"fake", "memory_bytes", "listed", {}};

TEST(ScaleFit, RecoversAKnownLineThroughMediansOfRepeats) {
  std::vector<Sample> samples;
  for (const double size : {1, 10, 100, 1000}) {
    const double y = 100 + 3 * size;
    for (const double deviation : {-0.1, 0.0, 0.3}) samples.push_back(MakeSample(size, y * (1 + deviation)));
  }
  const Series series = FitAll(samples).at(kSeries);
  ASSERT_TRUE(series.line.has_value());
  EXPECT_NEAR(series.line->slope, 3, 1e-9);
  EXPECT_NEAR(series.line->intercept, 100, 1e-6);
  EXPECT_NEAR(series.theil_sen, 3, 1e-9);
  EXPECT_LT(series.exponent.value(), 0.9);  // because of the intercept
  EXPECT_NEAR(series.increase_exponent.value(), 1, 1e-9);
  EXPECT_NEAR(series.residual_largest, 0, 1e-9);
  EXPECT_NEAR(series.spread.value(), 0.4, 1e-9);
  EXPECT_TRUE(series.SpansTwoDecades());
}

TEST(ScaleFit, DistinguishesAPowerLawFromALine) {
  std::vector<Sample> samples;
  for (const double size : {1, 2, 4, 8, 16}) samples.push_back(MakeSample(size, 5 * size * size));
  const Series series = FitAll(samples).at(kSeries);
  EXPECT_NEAR(series.exponent.value(), 2, 1e-9);
  // The line is 86.25 x - 193.75: at size 1 it is -107.5 and the median 5, so the relative residual is
  // 112.5 / 5.
  EXPECT_NEAR(series.residual_largest, 22.5, 1e-9);
  EXPECT_FALSE(series.SpansTwoDecades());
  EXPECT_FALSE(series.spread.has_value());
}

TEST(ScaleFit, TheilSenIsRobustToOneOutlier) {
  std::vector<Sample> samples;
  for (const double size : {1, 2, 3, 4, 5, 6, 7})
    samples.push_back(MakeSample(size, size == 6 ? 60 : 2 * size));
  const Series series = FitAll(samples).at(kSeries);
  EXPECT_NEAR(series.theil_sen, 2, 1e-9);
  EXPECT_GT(series.line->slope, 4);
}

TEST(ScaleFit, ReportsTooFewSizesInsteadOfASlope) {
  const ProgramFixture program;
  const std::string scenario = "name = \"a\"\n[[step]]\nkind = \"fake\"\nlisted = [1, 2, 3]\n";
  ASSERT_EQ(program.Run(scenario, "few"), 0);
  ASSERT_EQ(program.Call({"fit", program.folder / "few", "--json", program.folder / "fit.json"}), 0);
  EXPECT_NE(program.out.find("3 sizes 1..3, under two decades; too few sizes"), std::string::npos)
      << program.out;
  EXPECT_NE(ReadFile(program.folder / "fit.json").find("\"slope\": \"too few sizes\""), std::string::npos);
}

TEST(ScaleFit, SeparatesSeriesByTheirOtherConditions) {
  std::vector<Sample> samples;
  for (const double relays : {1, 2}) {
    for (const double watches : {1, 2, 3, 4}) {
      samples.push_back(
          {"fan_out", {{"watches", watches}, {"relays", relays}}, {{"x", relays * watches}}, 0});
    }
  }
  const auto fitted = FitAll(samples);
  EXPECT_NEAR(fitted.at({"fan_out", "x", "watches", {{"relays", 2}}}).line->slope, 2, 1e-9);
  EXPECT_FALSE(fitted.at({"fan_out", "x", "relays", {{"watches", 3}}}).line.has_value());
  EXPECT_EQ(fitted.size(), 6U);
}

TEST(ScaleFit, ComparesALaterSlopeWithTheSpreadOfTheFirstRun) {
  Series first;
  Series later;
  first.line = Line{10, 0};
  later.line = Line{10.9, 0};
  EXPECT_FALSE(WithinSpread(first, later).has_value());
  first.spread = 0.1;
  EXPECT_TRUE(WithinSpread(first, later).value());
  later.line = Line{8.9, 0};
  EXPECT_FALSE(WithinSpread(first, later).value());
}

double LookUp(const std::string& name, std::optional<double> argument) {
  if (name == "a.b[c=1]") return 10 * argument.value_or(1);
  throw FormulaError(name + " is not known");
}

TEST(ScaleFormula, FollowsTheUsualOperatorPrecedence) {
  EXPECT_DOUBLE_EQ(Evaluate("1 + 2 * 3 - 4 / 8", LookUp), 6.5);
  EXPECT_DOUBLE_EQ(Evaluate("-(1 - 3) * 2 - 2 - 1", LookUp), 1);
  EXPECT_DOUBLE_EQ(Evaluate("max(1, min(7, 5), 2) / 2 / 5", LookUp), 0.5);
  EXPECT_DOUBLE_EQ(Evaluate("a.b[c=1] + a.b[c=1](3e1)", LookUp), 310);
}

TEST(ScaleFormula, RejectsInvalidFormulas) {
  for (const char* bad :
       {"", "1 +", "1 2", "(1", "1 / (2 - 2)", "b", "a.b[c=1", "max(1", "1e999", "2 ^ 2", "1e300*1e300"}) {
    EXPECT_THROW(Evaluate(bad, LookUp), FormulaError) << bad;
  }
  EXPECT_THROW(Evaluate(std::string(100000, '('), LookUp), FormulaError);
}

constexpr char kTargets[] = R"toml(
[targets]
servers = 14000
[budgets]
memory = { value = 20000, unit = "bytes" }
[assumptions]
listed_share = { value = 0.5, reason = "tried" }
)toml";

constexpr char kRoles[] = R"toml(
[formulas]
listed = "servers * listed_share"
[[row]]
role = "sidecar"
figure = "memory"
unit = "bytes"
when = "ordinary"
formula = "line.fake.memory_bytes.listed(listed)"
budget = "memory"
[[row]]
role = "control"
figure = "memory"
unit = "bytes"
when = "worst"
formula = "slope.fake.memory_bytes.listed * 100 + median.fake.memory_bytes[listed=10]"
budget = "memory / 2"
at = "100"
mechanism = "lists"
)toml";

class ScaleCapacity : public ::testing::Test {
 protected:
  ScaleCapacity() {
    EXPECT_EQ(program.Run("name = \"a\"\n[[step]]\nkind = \"fake\"\n", "first"), 0);
    program.Write("targets.toml", kTargets);
    program.Write("roles.toml", kRoles);
  }

  int Capacity(const std::vector<std::string>& extra = {}) const {
    std::vector<std::string> all = {"capacity",  program.folder / "first",
                                    "--targets", program.folder / "targets.toml",
                                    "--roles",   program.folder / "roles.toml"};
    all.insert(all.end(), extra.begin(), extra.end());
    return program.Call(all);
  }

  void ExpectOutput(const std::string& text) const {
    EXPECT_NE(program.out.find(text), std::string::npos) << program.out;
  }

  const ProgramFixture program;
};

TEST_F(ScaleCapacity, ShowsDemandsAtTheTarget) {
  ASSERT_EQ(Capacity(), 0) << program.error;
  // 100 + 3 * 7000 of 20000; the largest size measured is 1000.
  ExpectOutput(
      "| sidecar | memory | ordinary | 21100 | 20000 | bytes | 1.055 over | line.fake.memory_bytes.listed "
      "(first) | "
      "`line.fake.memory_bytes.listed(listed)` | yes, 7 of the largest size | missing |");
  ExpectOutput("| control | memory | worst | 430 | 10000 | bytes | 0.043 under |");
  ExpectOutput("| no, 0.1 of the largest size | lists |");
  ExpectOutput("| 1 | sidecar | memory | ordinary |");
  ExpectOutput("| 2 | control | memory | worst |");
  ExpectOutput(
      "| listed_share | 0.5 | tried | 0.53 under (sidecar, memory, ordinary) | 1.055 over (sidecar, memory, "
      "ordinary) | "
      "2.105 over (sidecar, memory, ordinary) | 0.53 to 2.105 (sidecar, memory, ordinary) |");
  ExpectOutput(
      "| fake.memory_bytes.listed | first | 3 | 100 | 3 | 1, 10, 100, 1000 | yes | 0.0% | 0.0% | - | 0.4924 "
      "| 1 |");
}

TEST_F(ScaleCapacity, DetectsASingleChangedDigitInThePage) {
  std::string page = "Before\n";
  for (const char* name : {"ranking", "slopes", "roles", "assumptions", "agreement"}) {
    page += std::string("<!-- table ") + name + " -->\n<!-- end " + name + " -->\nbetween\n";
  }
  const std::string file = program.Write("page.md", page);
  EXPECT_EQ(Capacity({"--page", file, "--check"}), 1);
  ASSERT_EQ(Capacity({"--page", file, "--write"}), 0) << program.error;
  std::string written = ReadFile(file);
  EXPECT_EQ(written.substr(0, 7), "Before\n");
  EXPECT_EQ(Capacity({"--page", file, "--check"}), 0) << program.error;
  const std::size_t digit = written.find("21100", written.find("table roles"));
  ASSERT_NE(digit, std::string::npos);
  written[digit] = '3';
  program.Write("page.md", written);
  EXPECT_EQ(Capacity({"--page", file, "--check"}), 1);
  EXPECT_EQ(program.error, "rookhub_scale: " + file + ": table roles: differs from the results\n");
  program.Write("page.md", "none\n");
  EXPECT_EQ(Capacity({"--page", file, "--write"}), 2);
  EXPECT_EQ(ReadFile(file), "none\n");
}

// Figures without a budget are shown, but are never the worst of a role.
TEST_F(ScaleCapacity, DoesNotRankFiguresWithoutABudget) {
  program.Write("roles.toml", std::string(kRoles) + R"toml(
[[row]]
role = "sidecar"
figure = "messages in"
unit = "messages/s"
when = "ordinary"
formula = "servers * 1000"
)toml");
  ASSERT_EQ(Capacity(), 0) << program.error;
  ExpectOutput("| sidecar | messages in | ordinary | 14000000 | - | messages/s | - | nothing measured |");
  ExpectOutput("| 1 | sidecar | memory | ordinary |");
  ExpectOutput("| 0.53 to 2.105 (sidecar, memory, ordinary) |");
}

TEST_F(ScaleCapacity, ComparesTheDemandsOfTwoRuns) {
  ASSERT_EQ(Capacity(), 0) << program.error;
  ExpectOutput("<!-- table agreement -->\nOne result alone: nothing to compare.\n");
  const std::string scenario = "name = \"a\"\nrepeats = 2\n[[step]]\nkind = \"fake\"\n";
  ASSERT_EQ(program.Run(scenario, "first-2"), 0);
  ASSERT_EQ(program.Run(scenario + "bytes = 3.2\n", "second"), 0);
  ASSERT_EQ(program.Run(scenario + "bytes = 6\n", "third"), 0);
  ASSERT_EQ(program.Run("name = \"a\"\n[[step]]\nkind = \"fake\"\nlisted = [10]\n", "few"), 0);
  const std::vector<std::string> files = {"--targets", program.folder / "targets.toml", "--roles",
                                          program.folder / "roles.toml"};
  const auto compare = [&](const char* later) {
    std::vector<std::string> all = {"capacity", program.folder / "first-2", program.folder / later};
    all.insert(all.end(), files.begin(), files.end());
    return program.Call(all);
  };
  ASSERT_EQ(compare("second"), 0) << program.error;
  // 1.05 * (100 + 3 * 7000), and the same with 3.2 instead of 3. The difference is within the spread of the
  // repeats, which is a tenth.
  ExpectOutput("| sidecar | memory | ordinary | 22155 | 23625 | 1.066 | none |");
  ASSERT_EQ(compare("third"), 0) << program.error;
  ExpectOutput("| sidecar | memory | ordinary | 22155 | 44205 | 1.995 | fake.memory_bytes.listed |");
  ASSERT_EQ(compare("few"), 0) << program.error;
  ExpectOutput("| sidecar | memory | ordinary | 22155 | - | - | not in both |");
}

TEST_F(ScaleCapacity, ReportsFileAndKeyOfAFormulaWithoutAValue) {
  const std::vector<std::pair<std::string, std::string>> bad = {
      {"serves * 2", "row[1].formula: serves is not known"},
      {"slope.fake.memory.listed", "row[1].formula: slope.fake.memory.listed was not measured"},
      {"line.fake.memory_bytes.listed", "row[1].formula: line.fake.memory_bytes.listed needs a size"},
      {"median.fake.memory_bytes",
       "row[1].formula: median.fake.memory_bytes was taken under several conditions"},
      {"median.fake.memory_bytes[listed]", "row[1].formula: [listed] must be conditions"},
      {"1 +", "row[1].formula: a value is missing"},
  };
  const std::string formula = "line.fake.memory_bytes.listed(listed)";
  for (const auto& [formula_text, message] : bad) {
    std::string roles = kRoles;
    program.Write("roles.toml", roles.replace(roles.find(formula), formula.size(), formula_text));
    EXPECT_EQ(Capacity(), 2);
    const std::string start = "rookhub_scale: " + (program.folder / "roles.toml").string() + ": " + message;
    EXPECT_EQ(program.error.substr(0, start.size()), start);
  }
}

TEST_F(ScaleCapacity, RejectsCircularFormulasZeroBudgetsAndBadTargets) {
  std::string roles = kRoles;
  program.Write("roles.toml", roles.replace(roles.find("servers * listed_share"), 22, "listed * 2"));
  EXPECT_EQ(Capacity(), 2);
  EXPECT_NE(program.error.find("row[1].formula: listed: listed depends on itself"), std::string::npos)
      << program.error;
  roles = kRoles;
  program.Write("roles.toml", roles.replace(roles.find("memory / 2"), 10, "memory - memory"));
  EXPECT_EQ(Capacity(), 2);
  EXPECT_NE(program.error.find("row[2].budget: must be above 0"), std::string::npos) << program.error;
  program.Write("roles.toml", std::string("[formulas]\nservers = \"2\"") + std::string(kRoles).substr(11));
  EXPECT_EQ(Capacity(), 2);
  EXPECT_NE(program.error.find("formulas.servers: is also a name in the targets file"), std::string::npos)
      << program.error;
  program.Write("targets.toml", std::string(kTargets) + "other = 4\n");
  EXPECT_EQ(Capacity(), 2);
  EXPECT_NE(program.error.find("assumptions.other: an assumption needs a reason"), std::string::npos)
      << program.error;
}

}  // namespace
}  // namespace merlinrun::scale::testing
