#ifndef BORAGEPIER_TESTING_E2E_FLEET_H
#define BORAGEPIER_TESTING_E2E_FLEET_H

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "testing/e2e/child_process.h"
#include "testing/e2e/sync_client.h"

namespace boragepier::testing {

/// An entry instance under test.
struct RunningInstance
{
  std::string id_;
  std::unique_ptr<ChildProcess> process_;
  std::uint16_t caller_ = 0;
  std::uint16_t peer_ = 0;
  std::uint16_t admin_ = 0;
};

/// A stand-in upstream under test.
struct RunningUpstream
{
  std::string id_;
  std::unique_ptr<ChildProcess> process_;
  std::uint16_t port_ = 0;
};

/// The platform stand-in, entry instances and upstreams as processes on loopback. Ports are chosen
/// by the system. Plays the platform's part of keeping the list of entry instances.
class Fleet
{
public:
  Fleet();
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  SyncClient& Client() { return client_; }
  std::uint16_t PlatformPort() const { return platformPort_; }
  /// @return a directory that is removed with the fleet
  const std::filesystem::path& Directory() const { return directory_; }

  /// Changes the port at which instances that are started later reach the platform.
  void SetPlatformPortOfInstances(std::uint16_t aPort) { platformPortOfInstances_ = aPort; }

  /// Starts an upstream that does not register itself. The caller owns it.
  std::unique_ptr<RunningUpstream> StartUpstream(const std::string& aId,
                                                 const std::string& aService,
                                                 const std::vector<std::string>& aOptions);
  /// Starts an upstream, which registers itself.
  RunningUpstream& AddUpstream(const std::string& aService,
                               const std::vector<std::string>& aOptions = {});
  /// Starts an instance and puts it on the platform's list.
  /// @param aSettings further lines for its settings file
  RunningInstance& AddInstance(const std::string& aSettings = {});

  RunningInstance& Instance(std::size_t aIndex) { return *instances_.at(aIndex); }
  RunningUpstream& Upstream(std::size_t aIndex) { return *upstreams_.at(aIndex); }
  std::size_t Instances() const { return instances_.size(); }
  std::size_t Upstreams() const { return upstreams_.size(); }

  /// Writes a service file and publishes it with boragepierctl.
  /// @return exit status of boragepierctl
  int Publish(const std::string& aService, const std::string& aText);

  /// Writes a service file without publishing it.
  void WriteServiceFile(const std::string& aService, const std::string& aText);
  /// Publishes all service files written so far.
  /// @return exit status of boragepierctl
  int PublishServiceFiles();
  /// Publishes the service files below a directory with boragepierctl.
  /// @return exit status of boragepierctl
  int PublishDirectory(const std::filesystem::path& aDirectory);

  /// Sets switches of the platform stand-in, for example {"table_down":true}.
  void ControlPlatform(const std::string& aJson);
  /// Sets the mode of an upstream, for example {"mode":"drain"}.
  void ControlUpstream(const RunningUpstream& aUpstream, const std::string& aJson);
  /// Puts an instance on the platform's list.
  void Register(const RunningInstance& aInstance, bool aLeaving);

  /// Puts an upstream that does not register itself on the platform's list.
  void RegisterUpstream(const std::string& aId,
                        const std::string& aService,
                        std::uint16_t aPort,
                        std::uint64_t aStartNumber = 1,
                        bool aLeaving = false);

  /// Waits until an instance knows so many upstreams of a service.
  void WaitForUpstreams(const RunningInstance& aInstance,
                        const std::string& aService,
                        std::uint64_t aCount);
  /// Waits until every running instance has the service in force in a version of at least aVersion.
  /// @throws ChildProcessError if that does not happen
  void WaitForVersion(const std::string& aService, std::uint64_t aVersion);
  /// Waits until an instance answers the request with the status.
  void WaitForStatus(const RunningInstance& aInstance, const std::string& aTarget, int aStatus);

  /// @return all runs of all upstreams
  int TotalRuns();
  /// @return runs by key, as all upstreams counted them
  std::vector<std::pair<std::string, int>> RunsByKey();

private:
  void PutProcess(const std::string& aId, const std::string& aJson);
  /// @return whether the status of an instance shows a service whose field is at least aValue
  bool ServiceReached(const RunningInstance& aInstance,
                      const std::string& aService,
                      const std::string& aField,
                      std::uint64_t aValue);

  std::filesystem::path directory_;
  SyncClient client_;
  std::unique_ptr<ChildProcess> platform_;
  std::uint16_t platformPort_ = 0;
  std::uint16_t platformPortOfInstances_ = 0;
  std::vector<std::unique_ptr<RunningInstance>> instances_;
  std::vector<std::unique_ptr<RunningUpstream>> upstreams_;
};

/// @return text of a service file
std::string
ServiceText(const std::string& aName, const std::string& aPath, const std::string& aMore = {});

} // namespace boragepier::testing

#endif
