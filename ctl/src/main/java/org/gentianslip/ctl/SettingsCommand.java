package org.gentianslip.ctl;

import picocli.CommandLine.Command;

/**
 * Groups the subcommands that work on settings files.
 *
 * <p>Confined to one thread.
 */
@Command(
    name = "settings",
    description = "Checks, shows and compares files of settings.",
    mixinStandardHelpOptions = true,
    footerHeading = "%nSettings:%n",
    subcommands = {
      CheckCommand.class,
      ShowCommand.class,
      DiffCommand.class,
      ReferenceCommand.class
    })
final class SettingsCommand {}
