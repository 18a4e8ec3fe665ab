#ifndef BORAGEPIER_DECISION_REPORT_MODEL_H
#define BORAGEPIER_DECISION_REPORT_MODEL_H

#include <array>
#include <cstddef>

namespace boragepier {

/// Learns from successive reports of the same upstreams how many requests of other instances are
/// there some time after a report.
class ReportModel
{
public:
  /// Larger numbers of requests are counted as the largest.
  static constexpr std::size_t kCounts = 16;
  /// A value for each number of other instances' requests.
  using Values = std::array<double, kCounts>;

  /// Takes in a report.
  /// @param aOthers requests of other instances
  void AddReport(unsigned aOthers);
  /// Takes in two successive reports of one upstream.
  /// @param aAge time between them, in service times
  void AddPair(double aAge, unsigned aEarlier, unsigned aLater);

  /// @param aAge age of the report, in service times
  /// @param aReported requests of other instances according to it
  /// @param aValues what is to be averaged
  /// @return the expected value now
  double Expect(double aAge, unsigned aReported, const Values& aValues) const;
  /// @return the expected value at an upstream without a report
  double ExpectUnreported(const Values& aValues) const;

private:
  static constexpr std::size_t kAges = 10;
  static constexpr std::size_t kEarlier = 8;

  struct Cell
  {
    Values counts_{};
    double total_ = 0;
  };

  static std::size_t AgeBucket(double aAge);
  static double Sum(const Values& aCounts, const Values& aValues);

  std::array<std::array<Cell, kEarlier>, kAges> cells_{};
  Cell all_;
};

} // namespace boragepier

#endif
