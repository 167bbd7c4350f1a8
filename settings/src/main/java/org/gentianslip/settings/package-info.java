/** The settings tree: inheritance, validation with findings and effective values. */
package org.gentianslip.settings;
