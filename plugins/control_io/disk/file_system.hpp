#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_IO_DISK_FILE_SYSTEM_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_IO_DISK_FILE_SYSTEM_HPP

#include <mulberryrudder/core/error.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mulberryrudder::disk
{

/// A file that is open for appending.
///
/// Thread safety: one owner.
class output_file
{
public:
    virtual ~output_file() = default;

    /// Writes all bytes at the end; on error a part of them may stand there.
    virtual result<void> append(std::string_view bytes) = 0;

    /// Waits until everything written is on the disk. After an error the contents
    /// are unknown and the call must not be repeated.
    virtual result<void> sync() = 0;
};

/// The few operations on one folder that the disk duty needs, so that tests can
/// let each of them fail. Names are file names without a path.
///
/// Thread safety: one owner.
class file_system
{
public:
    virtual ~file_system() = default;

    virtual result<std::vector<std::string>> list() = 0;
    virtual result<std::string> read(std::string const& name) = 0;
    /// Returns a number that a copy of the file, or of its folder, does not share:
    /// of where it stands on the disk and when it was made there.
    virtual result<std::uint64_t> origin(std::string const& name) = 0;
    /// Opens a file at its end and makes it if it is absent.
    virtual result<std::unique_ptr<output_file>> open(std::string const& name) = 0;
    /// Writes bytes within a file and waits until they are on the disk. After an error the
    /// contents of this range are unknown.
    /// Precondition: the file reaches to the end of the range.
    virtual result<void> overwrite(std::string const& name, std::uint64_t offset,
                                   std::string_view bytes) = 0;
    /// Waits until everything written to a file, also before a crash, is on the disk.
    virtual result<void> sync(std::string const& name) = 0;
    virtual result<void> truncate(std::string const& name, std::uint64_t size) = 0;
    virtual result<void> rename(std::string const& from, std::string const& to) = 0;
    virtual result<void> remove(std::string const& name) = 0;
    /// Waits until made, renamed and removed names are on the disk.
    virtual result<void> sync_folder() = 0;
};

/// Replaces a file as a whole, or makes it, and waits until that is on the disk. After an error the
/// file is the former or the new one.
result<void> replace_file(file_system& files, std::string const& name, std::string_view bytes);

/// Opens a folder of the machine for this process alone; makes it if it is absent.
result<std::unique_ptr<file_system>> open_folder(std::string const& path);

} // namespace mulberryrudder::disk

#endif
