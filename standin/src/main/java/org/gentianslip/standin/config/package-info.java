/** Stands in for the platform's config service, which is only read and watched by instances. */
package org.gentianslip.standin.config;
