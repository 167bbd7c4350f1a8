package org.gentianslip.settings;

/**
 * One document of the settings, as raw bytes.
 *
 * <p>The bytes are not copied and must not be modified. Safe for use by several threads.
 *
 * @param source the file or key, as named in findings
 * @param content the UTF-8 encoded JSON text
 */
public record SettingsDocument(String source, byte[] content) {}
