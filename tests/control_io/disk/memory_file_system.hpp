#ifndef MULBERRYRUDDER_TESTS_CONTROL_IO_DISK_MEMORY_FILE_SYSTEM_HPP
#define MULBERRYRUDDER_TESTS_CONTROL_IO_DISK_MEMORY_FILE_SYSTEM_HPP

#include <plugins/control_io/disk/file_system.hpp>

#include <functional>
#include <map>
#include <set>

namespace mulberryrudder::disk::testing
{

/// Keeps synced and unsynced contents apart, and can fail at any operation.
class memory_file_system final : public file_system
{
public:
    result<std::vector<std::string>> list() override;
    result<std::string> read(std::string const& name) override;
    result<std::uint64_t> origin(std::string const&) override { return folder; }
    result<std::unique_ptr<output_file>> open(std::string const& name) override;
    result<void> overwrite(std::string const& name, std::uint64_t offset,
                           std::string_view bytes) override;
    result<void> sync(std::string const& name) override;
    result<void> truncate(std::string const& name, std::uint64_t size) override;
    result<void> rename(std::string const& from, std::string const& to) override;
    result<void> remove(std::string const& name) override;
    result<void> sync_folder() override;

    /// Loses what was not synced, but for the first bytes that `kept` grants of
    /// each file's unsynced tail or write in place.
    void crash(std::function<std::size_t(std::size_t unsynced)> const& kept);

    /// Lets the operation after this many further ones fail.
    void fail_after(int operations) { until_failure_ = operations; }
    /// Lets all operations work again.
    void mend() { until_failure_ = -1, failed_ = false; }
    int operations() const { return operations_; }
    bool failed() const { return failed_; }
    /// Operations that were asked for after the one that failed.
    int operations_after_failure() const { return after_failure_; }

    std::uint64_t folder = 1; ///< Differs in a copied folder.
    std::string& contents(std::string const& name) { return files_.at(name).bytes; }
    std::string newest_segment() const;

private:
    friend class memory_file;

    struct file_state
    {
        std::string bytes;
        std::size_t synced = 0;
        /// What stood before a write in place that is not synced.
        std::string replaced;
        std::size_t replaced_at = 0;
    };

    bool step();
    void mark_synced(std::string const& name);

    std::map<std::string, file_state> files_;
    std::map<std::string, file_state> synced_names_; ///< As of the last folder sync.
    int until_failure_ = -1;
    int operations_ = 0;
    bool failed_ = false;
    int after_failure_ = 0;
};

} // namespace mulberryrudder::disk::testing

#endif
