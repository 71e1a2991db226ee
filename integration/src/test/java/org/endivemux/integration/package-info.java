/** Tests with real processes behind the fault proxy, and the rules between modules. */
package org.endivemux.integration;
