#ifndef BORAGEPIER_TESTING_E2E_FLEET_H
#define BORAGEPIER_TESTING_E2E_FLEET_H

#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "testing/e2e/child_process.h"
#include "testing/e2e/sync_client.h"

namespace boragepier::testing {

/// A running entry instance and its ports.
struct RunningInstance
{
  std::string id_;
  std::unique_ptr<ChildProcess> process_;
  std::uint16_t callerPort_ = 0;
  std::uint16_t peerPort_ = 0;
  std::uint16_t adminPort_ = 0;
};

/// A running simulated upstream.
struct RunningUpstream
{
  std::string id_;
  std::unique_ptr<ChildProcess> process_;
  std::uint16_t port_ = 0;
};

/// The simulated platform, entry instances and simulated upstreams, run as child processes on free
/// loopback ports. Registers the entry instances with the platform, as a deployment does. Waits
/// fail with ChildProcessError after ChildProcess::kTimeout.
class Fleet
{
public:
  Fleet();
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  SyncClient& Client() { return client_; }
  std::uint16_t PlatformPort() const { return platformPort_; }
  /// @return a temporary directory that the destructor removes
  const std::filesystem::path& Directory() const { return directory_; }

  /// Sets the port through which instances started later connect to the platform.
  void SetInstancePlatformPort(std::uint16_t aPort) { instancePlatformPort_ = aPort; }

  /// Starts an upstream that does not register itself.
  /// @param aOptions further command-line arguments
  std::unique_ptr<RunningUpstream> StartUpstream(const std::string& aId,
                                                 const std::string& aService,
                                                 const std::vector<std::string>& aOptions);
  /// Starts an upstream that registers itself with the platform.
  /// @param aOptions further command-line arguments
  RunningUpstream& AddUpstream(const std::string& aService,
                               const std::vector<std::string>& aOptions = {});
  /// Starts an instance and registers it with the platform.
  /// @param aSettings further lines of its settings file
  /// @param aLimit limits on its descriptors; without them it inherits those of the test
  RunningInstance& AddInstance(const std::string& aSettings = {},
                               std::optional<DescriptorLimit> aLimit = std::nullopt);

  RunningInstance& Instance(std::size_t aIndex) { return *instances_.at(aIndex); }
  RunningUpstream& Upstream(std::size_t aIndex) { return *upstreams_.at(aIndex); }
  std::size_t InstanceCount() const { return instances_.size(); }
  std::size_t UpstreamCount() const { return upstreams_.size(); }

  /// Writes a service file and publishes all service files written so far with boragepierctl.
  /// @return the exit status of boragepierctl
  int Publish(const std::string& aService, const std::string& aText);

  /// Writes a service file without publishing it.
  void WriteServiceFile(const std::string& aService, const std::string& aText);
  /// Publishes all service files written so far with boragepierctl.
  /// @return the exit status of boragepierctl
  int PublishServiceFiles();
  /// Publishes the service files below a directory with boragepierctl.
  /// @return the exit status of boragepierctl
  int PublishDirectory(const std::filesystem::path& aDirectory);

  /// Sets faults of the simulated platform, for example {"table_down":true}.
  void ControlPlatform(const std::string& aJson);
  /// Sets the fault mode of an upstream, for example {"mode":"drain"}.
  void ControlUpstream(const RunningUpstream& aUpstream, const std::string& aJson);
  /// Adds an instance to the platform's process list or updates its entry.
  void RegisterInstance(const RunningInstance& aInstance, bool aLeaving);

  /// Adds an upstream that does not register itself to the platform's process list.
  void RegisterUpstream(const std::string& aId,
                        const std::string& aService,
                        std::uint16_t aPort,
                        std::uint64_t aStartNumber = 1,
                        bool aLeaving = false);

  /// Waits until an instance knows at least aCount upstreams of a service.
  void WaitForUpstreams(const RunningInstance& aInstance,
                        const std::string& aService,
                        std::uint64_t aCount);
  /// Waits until every instance uses at least version aVersion of the service's configuration.
  /// @throws ChildProcessError after ChildProcess::kTimeout
  void WaitForVersion(const std::string& aService, std::uint64_t aVersion);
  /// Sends GET requests until the instance responds with the status.
  void WaitForStatus(const RunningInstance& aInstance, const std::string& aTarget, int aStatus);

  /// @return the number of runs at all upstreams that this object owns
  int TotalRuns();
  /// @return each idempotency key with the number of its runs at all upstreams that this object
  /// owns
  std::vector<std::pair<std::string, int>> RunsByKey();
  /// @return the largest number of requests that one instance sent to one upstream in a pause for
  /// which the upstream had asked it
  int MostRequestsInPause();

private:
  void PutListEntry(const std::string& aId, const std::string& aJson);
  /// @return whether /status of the instance shows a value of at least aValue in a field of the
  /// service
  bool ServiceFieldIsAtLeast(const RunningInstance& aInstance,
                             const std::string& aService,
                             const std::string& aField,
                             std::uint64_t aValue);

  std::filesystem::path directory_;
  SyncClient client_;
  std::unique_ptr<ChildProcess> platform_;
  std::uint16_t platformPort_ = 0;
  std::uint16_t instancePlatformPort_ = 0;
  std::vector<std::unique_ptr<RunningInstance>> instances_;
  std::vector<std::unique_ptr<RunningUpstream>> upstreams_;
};

/// @param aExtraLines further lines of the file
/// @return the text of a service file
std::string
MakeServiceFile(const std::string& aName,
                const std::string& aPath,
                const std::string& aExtraLines = {});

} // namespace boragepier::testing

#endif
