package org.gentianslip.settings;

/**
 * Holds the bytes of one part of the settings as they were read.
 *
 * <p>The bytes are not copied and must not be changed. Safe for use by several threads.
 *
 * @param source the file or key that findings name
 * @param content the bytes
 */
public record SettingsDocument(String source, byte[] content) {}
